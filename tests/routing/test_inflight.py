from collections import Counter, deque
from datetime import timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bergamotshed.clock import ManualClock
from bergamotshed.routing.inflight import InFlightTable
from bergamotshed.routing.router_reservations import TRANSIT_LIMIT_S

ROUTERS = st.sampled_from(['r0', 'r1'])
UPSTREAMS = ('e0', 'e1')
ONE_IN_EIGHT = st.integers(0, 7)


class Router:
    """A router's actual requests and its ordered channels to a home."""

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.last_seen_grant = 0
        self.in_flight: dict[int, str] = {}
        self.answers: deque[tuple[int, str]] = deque()
        self.sent: deque[tuple[str, int, dict[str, int]]] = deque()

    def counts(self) -> Counter[str]:
        return Counter(self.in_flight.values())


class InFlightMachine(RuleBasedStateMachine):
    """Grants, releases and reports in flight; releases may be lost."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.table = InFlightTable(self.clock)
        self.routers = {f'r{n}': Router(1) for n in range(2)}
        self.restarted: set[str] = set()
        self.reported: set[str] = set()

    @rule(name=ROUTERS, upstream=st.sampled_from(UPSTREAMS))
    def reserve(self, name: str, upstream: str) -> None:
        grant = self.table.reserve(name, upstream)
        assert grant > self.routers[name].last_seen_grant
        self.routers[name].answers.append((grant, upstream))

    @rule(name=ROUTERS)
    def receive_grant(self, name: str) -> None:
        router = self.routers[name]
        if router.answers:
            grant, upstream = router.answers.popleft()
            router.in_flight[grant] = upstream
            router.last_seen_grant = grant

    @rule(name=ROUTERS, pick=st.integers(0, 9), times=st.integers(0, 2))
    def finish(self, name: str, pick: int, times: int) -> None:
        router = self.routers[name]
        if router.in_flight:
            grant = sorted(router.in_flight)[pick % len(router.in_flight)]
            router.in_flight.pop(grant)
            router.sent.extend([('release', grant, {})] * times)

    @rule(name=ROUTERS)
    def report(self, name: str) -> None:
        router = self.routers[name]
        router.sent.append(
            ('report', router.last_seen_grant, dict(router.counts()))
        )

    @rule(name=ROUTERS, messages=st.integers(1, 4))
    def deliver_some(self, name: str, messages: int) -> None:
        for _ in range(min(messages, len(self.routers[name].sent))):
            self.deliver(name)

    def deliver(self, name: str) -> None:
        router = self.routers[name]
        kind, number, counts = router.sent.popleft()
        if kind == 'release':
            self.table.release(name, number)
        else:
            self.table.reconcile(name, router.incarnation, number, counts)
            self.restarted.discard(name)
            self.reported.add(name)

    @rule(name=ROUTERS, chance=ONE_IN_EIGHT)
    def restart(self, name: str, chance: int) -> None:
        if chance:
            return
        self.routers[name] = Router(self.routers[name].incarnation + 1)
        self.restarted.add(name)
        self.reported.discard(name)

    @rule(name=ROUTERS)
    def stale_report(self, name: str) -> None:
        router = self.routers[name]
        if name in self.reported:
            stale = router.incarnation - 1
            self.table.reconcile(name, stale, router.last_seen_grant, {})

    @invariant()
    def counts_no_request_too_few(self) -> None:
        if self.restarted:
            return
        for upstream in UPSTREAMS:
            assert self.table.count(upstream) >= self.true_count(upstream)

    def true_count(self, upstream: str) -> int:
        return sum(
            router.counts()[upstream] for router in self.routers.values()
        )

    def teardown(self) -> None:
        """Deliver all messages; a few more reports must correct every count."""
        for name, router in self.routers.items():
            while router.answers:
                self.receive_grant(name)
            for _ in range(3):
                self.report(name)
            while router.sent:
                self.clock.advance(timedelta(seconds=TRANSIT_LIMIT_S))
                self.deliver(name)
        for upstream in UPSTREAMS:
            assert self.table.count(upstream) == self.true_count(upstream)
        for name in self.routers:
            self.table.remove_router(name)
        assert self.table.total(UPSTREAMS) == 0


InFlightMachine.TestCase.settings = settings(
    max_examples=120, stateful_step_count=50, deadline=None, derandomize=True
)
TestInFlight = InFlightMachine.TestCase


def test_numbers_of_another_table_count_as_unseen() -> None:
    table = InFlightTable(ManualClock(), grant_base=1 << 32)
    table.reserve('r0', 'e0')
    table.reconcile('r0', 1, (1 << 40) + 5, {})
    assert table.count('e0') == 1


def test_upstream_reports_are_minimum_counts_until_discarded() -> None:
    table = InFlightTable(ManualClock())
    table.reserve('r0', 'e0')
    table.record_reported_load('e0', 7)
    assert table.count('e0') == 7
    table.discard_reported_loads()
    assert table.count('e0') == 1


def test_first_report_after_a_restart_drops_earlier_grants() -> None:
    table = InFlightTable(ManualClock())
    table.reconcile('r0', 1, 0, {})
    grant = table.reserve('r0', 'e0')
    assert table.reconcile('r0', 2, 0, {}) == [grant]
    assert table.count('e0') == 0


def test_grant_whose_answer_was_lost_ends_after_the_transit_limit() -> None:
    clock = ManualClock()
    table = InFlightTable(clock)
    table.reserve('r0', 'e0')
    table.reconcile('r0', 1, 0, {})
    assert table.count('e0') == 1
    for _ in range(2):
        clock.advance(timedelta(seconds=TRANSIT_LIMIT_S))
        table.reconcile('r0', 1, 0, {})
    assert table.count('e0') == 0
