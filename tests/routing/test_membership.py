from datetime import timedelta

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from bergamotshed.clock import ManualClock
from bergamotshed.routing.health import UpstreamHealth
from bergamotshed.routing.homes import home_of
from bergamotshed.routing.membership import Membership, PeerReport
from bergamotshed.routing.monitors import monitored_by, monitors_of
from bergamotshed.routing.types import Outcome, Upstream, UpstreamState
from bergamotshed.routing.view import RouterNode

SERVICE = 'drafting'
LIVE, SUSPECT, LEAVING = UpstreamState
NAMES = ('a', 'b', 'c', 'd')
ENGINES = ('e0', 'e1', 'e2', 'e3', 'e4')
TICK = timedelta(milliseconds=100)


def router(name: str, *, leaving: bool = False) -> RouterNode:
    return RouterNode(name, f'{name}:1', f'{name}:2', 'z', leaving=leaving)


def engine(name: str, state: UpstreamState = LIVE) -> Upstream:
    return Upstream(name, SERVICE, f'{name}:1', 'z', state)


class Node:
    """One router's view; it receives reports only when a test delivers them."""

    def __init__(self, name: str, clock: ManualClock) -> None:
        self.clock = clock
        self.health = UpstreamHealth(name, clock)
        self.view = Membership(router(name), clock, self.health)
        self.seq = 0
        self.incarnation = 1
        self.list_vms()

    def list_vms(self, leaving: frozenset[str] = frozenset()) -> None:
        self.view.update_list(
            [engine(e, LEAVING if e in leaving else LIVE) for e in ENGINES],
            [router(name, leaving=name in leaving) for name in NAMES],
        )

    def report(self) -> PeerReport:
        self.seq += 1
        return PeerReport(
            node=self.view.node.name,
            incarnation=self.incarnation,
            seq=self.seq,
            leaving=self.view.leaving.export(),
            suspects=(
                *self.health.suspects.export(),
                *self.view.silent_routers.export(),
            ),
            cleared=self.health.cleared.export(),
        )

    def state(self, name: str) -> UpstreamState:
        upstreams = self.view.upstreams(SERVICE)
        return next(u.state for u in upstreams if u.name == name)

    def suspects(self) -> set[str]:
        return {node.name for node in self.view.routers() if node.suspect}


def nodes(*names: str) -> tuple[ManualClock, list[Node]]:
    clock = ManualClock()
    return clock, [Node(name, clock) for name in names]


def advance(clock: ManualClock, seconds: float, *ticking: Node) -> None:
    for _ in range(round(seconds / TICK.total_seconds())):
        clock.advance(TICK)
        for node in ticking:
            node.view.tick()


SILENCES = [
    pytest.param(1.4, set(), id='within-the-timeout'),
    pytest.param(1.7, {'b', 'c', 'd'}, id='longer'),
]


@pytest.mark.parametrize(('silence', 'suspects'), SILENCES)
def test_silence_makes_a_router_suspect(
    silence: float, suspects: set[str]
) -> None:
    clock, (a, b) = nodes('a', 'b')
    a.view.merge_report(b.report())
    advance(clock, silence, a)
    assert a.suspects() == suspects
    a.view.merge_report(b.report())
    assert 'b' not in a.suspects()


@pytest.mark.parametrize(
    ('heard', 'reported'),
    [('bc', {'d'}), ('b', set()), ('', set())],
)
def test_a_router_that_hears_few_peers_reports_none_as_silent(
    heard: str, reported: set[str]
) -> None:
    clock, members = nodes('a', *heard)
    for _ in range(2):
        exchange_reports(clock, *members)
    assert members[0].view.silent_routers.own == reported


def test_a_router_that_was_paused_suspects_no_peer_for_that_time() -> None:
    clock, (a, b) = nodes('a', 'b')
    a.view.merge_report(b.report())
    clock.advance(timedelta(seconds=20))
    a.view.tick()
    assert a.suspects() == set()
    advance(clock, 1.7, a)
    assert a.suspects() == {'b', 'c', 'd'}


def test_old_reports_are_ignored() -> None:
    _, (a, b) = nodes('a', 'b')
    first = b.report()
    assert a.view.merge_report(b.report())
    assert not a.view.merge_report(first)
    b.incarnation += 1
    b.seq = 0
    assert a.view.merge_report(b.report())
    assert not a.view.merge_report(first)
    assert not a.view.merge_report(PeerReport('stranger', 1, 1))


def test_a_vm_that_leaves_on_one_list_leaves_at_all_routers() -> None:
    clock, (a, b, c) = nodes('a', 'b', 'c')
    b.list_vms(frozenset(('e1', 'd')))
    a.view.merge_report(b.report())
    c.view.merge_report(a.report())
    for receiver in (a, c):
        assert receiver.state('e1') is LEAVING
        assert receiver.view.leaving.own == frozenset()
        leaving = [
            node.name for node in receiver.view.routers() if node.leaving
        ]
        assert leaving == ['d']
    b.list_vms()
    for _ in range(7):
        exchange_reports(clock, a, b, c)
    assert {a.state('e1'), b.state('e1'), c.state('e1')} == {LIVE}


def exchange_reports(clock: ManualClock, *members: Node) -> None:
    """Advance one second, then deliver each node's report to all nodes."""
    advance(clock, 1, *members)
    reports = [sender.report() for sender in members]
    for receiver in members:
        for report in reports:
            receiver.view.merge_report(report)


QUORUMS = [
    pytest.param(1, False, id='one-monitor-is-not-enough'),
    pytest.param(2, True, id='two-monitors-are-enough'),
]


@pytest.mark.parametrize(('reporters', 'expected'), QUORUMS)
def test_monitors_report_a_silent_router_in_a_large_fleet(
    reporters: int, expected: bool
) -> None:
    names = [f'r{number:02}' for number in range(40)]
    clock = ManualClock()
    silent = 'r07'
    monitors = monitors_of(silent, names)
    distant = next(name for name in names if name not in {silent, *monitors})
    all_routers = [router(name) for name in names]
    views = {}
    for name in (distant, *monitors[:reporters]):
        views[name] = Membership(
            router(name), clock, UpstreamHealth(name, clock)
        )
        views[name].update_list((), all_routers)
    for seq in range(4):
        clock.advance(timedelta(seconds=0.5))
        for name, view in views.items():
            for peer in monitored_by(name, names):
                if peer != silent:
                    view.merge_report(PeerReport(peer, 1, seq))
            view.tick()
    for name in monitors[:reporters]:
        reported = views[name].silent_routers.export()
        assert [item.name for item in reported] == [silent]
        views[distant].merge_report(PeerReport(name, 2, 1, suspects=reported))
    views[distant].tick()
    suspects = [node.name for node in views[distant].routers() if node.suspect]
    assert suspects == ([silent] if expected else [])


def test_a_draining_router_is_no_home_at_its_peers() -> None:
    _, (a, b) = nodes('a', 'b')
    b.view.drain()
    a.view.merge_report(b.report())
    for partition in range(50):
        assert home_of(SERVICE, partition, a.view.routers()) != 'b'
        assert home_of(SERVICE, partition, b.view.routers()) != 'b'


def test_the_view_is_the_same_object_until_something_changes() -> None:
    _, (a, b) = nodes('a', 'b')
    a.view.merge_report(b.report())
    before = a.view.routers()
    a.view.merge_report(b.report())
    a.view.tick()
    assert a.view.routers() is before


class FlapMachine(RuleBasedStateMachine):
    """Lists, heartbeats, restarts and failures change in any order."""

    @initialize()
    def start(self) -> None:
        self.clock, self.nodes = nodes(*NAMES)

    @rule(
        index=st.sampled_from(range(4)),
        leaving=st.frozensets(st.sampled_from(ENGINES + NAMES), max_size=3),
    )
    def list_vms(self, index: int, leaving: frozenset[str]) -> None:
        self.nodes[index].list_vms(leaving)

    @rule(
        index=st.sampled_from(range(4)),
        name=st.sampled_from(ENGINES),
        outcome=st.sampled_from(Outcome),
    )
    def record_outcome(self, index: int, name: str, outcome: Outcome) -> None:
        self.nodes[index].health.record_outcome(name, outcome)

    @rule(sender=st.sampled_from(range(4)), receiver=st.sampled_from(range(4)))
    def deliver_report(self, sender: int, receiver: int) -> None:
        if sender != receiver:
            self.nodes[receiver].view.merge_report(self.nodes[sender].report())

    @rule(index=st.sampled_from(range(4)))
    def restart(self, index: int) -> None:
        incarnation = self.nodes[index].incarnation
        self.nodes[index] = Node(NAMES[index], self.clock)
        self.nodes[index].incarnation = incarnation + 1

    @rule(seconds=st.sampled_from((0.1, 0.9, 1.6, 5)))
    def wait(self, seconds: float) -> None:
        advance(self.clock, seconds, *self.nodes)

    @invariant()
    def views_are_sound(self) -> None:
        for node in getattr(self, 'nodes', ()):
            routers = node.view.routers()
            assert [peer.name for peer in routers] == list(NAMES)
            assert node.view.node.name not in node.suspects()
            upstreams = node.view.upstreams(SERVICE)
            assert [upstream.name for upstream in upstreams] == list(ENGINES)
            for name in node.view.leaving.own.intersection(ENGINES):
                assert node.state(name) is LEAVING

    def teardown(self) -> None:
        """All views agree after a few heartbeats without failures."""
        members = getattr(self, 'nodes', ())
        for node in members:
            node.list_vms()
            for name in ENGINES:
                node.health.record_outcome(name, Outcome.DONE)
        for _ in range(7):
            exchange_reports(self.clock, *members)
        for node in members:
            assert node.suspects() == set()
            assert {node.state(name) for name in ENGINES} == {LIVE}


FlapMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None, derandomize=True
)
TestFlapMachine = FlapMachine.TestCase
