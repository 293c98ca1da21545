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
from bergamotshed.routing.monitors import monitors_of, watched_by
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
    """One router's view, which hears the others only when told to."""

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


def spend(clock: ManualClock, seconds: float, *ticking: Node) -> None:
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
    spend(clock, silence, a)
    assert a.suspects() == suspects
    a.view.merge_report(b.report())
    assert 'b' not in a.suspects()


@pytest.mark.parametrize(
    ('heard', 'told'),
    [('bc', {'d'}), ('b', set()), ('', set())],
)
def test_who_hears_few_tells_of_no_silence(heard: str, told: set[str]) -> None:
    clock, among = nodes('a', *heard)
    for _ in range(2):
        exchange(clock, *among)
    assert among[0].view.silent_routers.own == told


def test_a_router_that_was_paused_itself_suspects_nobody_for_it() -> None:
    clock, (a, b) = nodes('a', 'b')
    a.view.merge_report(b.report())
    clock.advance(timedelta(seconds=20))
    a.view.tick()
    assert a.suspects() == set()
    spend(clock, 1.7, a)
    assert a.suspects() == {'b', 'c', 'd'}


def test_old_reports_change_nothing() -> None:
    _, (a, b) = nodes('a', 'b')
    first = b.report()
    assert a.view.merge_report(b.report())
    assert not a.view.merge_report(first)
    b.incarnation += 1
    b.seq = 0
    assert a.view.merge_report(b.report())
    assert not a.view.merge_report(first)
    assert not a.view.merge_report(PeerReport('stranger', 1, 1))


def test_a_leaving_vm_on_one_list_holds_back_the_other_routers() -> None:
    clock, (a, b, c) = nodes('a', 'b', 'c')
    b.list_vms(frozenset(('e1', 'd')))
    a.view.merge_report(b.report())
    c.view.merge_report(a.report())
    for hearer in (a, c):
        assert hearer.state('e1') is LEAVING
        assert hearer.view.leaving.own == frozenset()
        leaving = [node.name for node in hearer.view.routers() if node.leaving]
        assert leaving == ['d']
    b.list_vms()
    for _ in range(7):
        exchange(clock, a, b, c)
    assert {a.state('e1'), b.state('e1'), c.state('e1')} == {LIVE}


def exchange(clock: ManualClock, *among: Node) -> None:
    """Spend a second in which each node hears each other one."""
    spend(clock, 1, *among)
    reports = [teller.report() for teller in among]
    for hearer in among:
        for report in reports:
            hearer.view.merge_report(report)


QUORUMS = [
    pytest.param(1, False, id='one-watcher-is-not-enough'),
    pytest.param(2, True, id='two-watchers-are'),
]


@pytest.mark.parametrize(('tellers', 'expected'), QUORUMS)
def test_watchers_tell_of_a_silent_router_in_a_large_fleet(
    tellers: int, expected: bool
) -> None:
    names = [f'r{number:02}' for number in range(40)]
    clock = ManualClock()
    gone = 'r07'
    watchers = monitors_of(gone, names)
    far = next(name for name in names if name not in {gone, *watchers})
    everybody = [router(name) for name in names]
    views = {}
    for name in (far, *watchers[:tellers]):
        views[name] = Membership(
            router(name), clock, UpstreamHealth(name, clock)
        )
        views[name].update_list((), everybody)
    for seq in range(4):
        clock.advance(timedelta(seconds=0.5))
        for name, view in views.items():
            for known in watched_by(name, names):
                if known != gone:
                    view.merge_report(PeerReport(known, 1, seq))
            view.tick()
    for name in watchers[:tellers]:
        told = views[name].silent_routers.export()
        assert [item.name for item in told] == [gone]
        views[far].merge_report(PeerReport(name, 2, 1, suspects=told))
    views[far].tick()
    suspects = [node.name for node in views[far].routers() if node.suspect]
    assert suspects == ([gone] if expected else [])


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
    """Lists, heartbeats, drains and failures flap in any order."""

    @initialize()
    def begin(self) -> None:
        self.clock, self.nodes = nodes(*NAMES)

    @rule(
        of=st.sampled_from(range(4)),
        leaving=st.frozensets(st.sampled_from(ENGINES + NAMES), max_size=3),
    )
    def list_vms(self, of: int, leaving: frozenset[str]) -> None:
        self.nodes[of].list_vms(leaving)

    @rule(
        of=st.sampled_from(range(4)),
        name=st.sampled_from(ENGINES),
        outcome=st.sampled_from(Outcome),
    )
    def note(self, of: int, name: str, outcome: Outcome) -> None:
        self.nodes[of].health.record_outcome(name, outcome)

    @rule(teller=st.sampled_from(range(4)), hearer=st.sampled_from(range(4)))
    def beat(self, teller: int, hearer: int) -> None:
        if teller != hearer:
            self.nodes[hearer].view.merge_report(self.nodes[teller].report())

    @rule(of=st.sampled_from(range(4)))
    def restart(self, of: int) -> None:
        incarnation = self.nodes[of].incarnation
        self.nodes[of] = Node(NAMES[of], self.clock)
        self.nodes[of].incarnation = incarnation + 1

    @rule(seconds=st.sampled_from((0.1, 0.9, 1.6, 5)))
    def wait(self, seconds: float) -> None:
        spend(self.clock, seconds, *self.nodes)

    @invariant()
    def views_are_sound(self) -> None:
        for node in getattr(self, 'nodes', ()):
            routers = node.view.routers()
            assert [known.name for known in routers] == list(NAMES)
            assert node.view.node.name not in node.suspects()
            upstreams = node.view.upstreams(SERVICE)
            assert [known.name for known in upstreams] == list(ENGINES)
            for name in node.view.leaving.own.intersection(ENGINES):
                assert node.state(name) is LEAVING

    def teardown(self) -> None:
        """After a few heartbeats with good news all agree."""
        among = getattr(self, 'nodes', ())
        for node in among:
            node.list_vms()
            for name in ENGINES:
                node.health.record_outcome(name, Outcome.DONE)
        for _ in range(7):
            exchange(self.clock, *among)
        for node in among:
            assert node.suspects() == set()
            assert {node.state(name) for name in ENGINES} == {LIVE}


FlapMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None, derandomize=True
)
TestFlapMachine = FlapMachine.TestCase
