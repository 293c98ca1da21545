"""The home of an upstream, which grants the requests of all routers."""

from datetime import timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    rule,
)

from bergamotshed.clock import ManualClock
from bergamotshed.routing.load_home import LoadHome
from bergamotshed.routing.types import LoadGrant

LIFETIME = timedelta(seconds=5)
BOUND = 2.5
UPSTREAMS = ('e1', 'e2')
ROUTERS = ('r1', 'r2', 'r3')


def test_requests_beyond_the_bound_are_denied_until_one_ends() -> None:
    home = LoadHome(ManualClock())
    grants = [home.grant('r1', 'e1', BOUND, LIFETIME) for _ in range(4)]
    assert [grant.is_granted for grant in grants] == [True] * 3 + [False]
    assert grants[3].in_flight == 3
    assert home.grant('r2', 'e2', BOUND, LIFETIME).is_granted
    home.release('r1', grants[0].number)
    home.release('r1', grants[0].number)
    assert home.grant('r2', 'e1', BOUND, LIFETIME).is_granted
    assert not home.grant('r2', 'e1', BOUND, LIFETIME).is_granted


def test_requests_known_from_elsewhere_count() -> None:
    home = LoadHome(ManualClock())
    denied = home.grant('r1', 'e1', BOUND, LIFETIME, min_count=3)
    assert denied == LoadGrant(0, 3)


def test_grants_without_a_release_end() -> None:
    clock = ManualClock()
    home = LoadHome(clock)
    for router in ('r1', 'r2', 'r2'):
        home.grant(router, 'e1', BOUND, LIFETIME)
    home.release_routers(['r2'])
    assert home.count('e1') == 1
    clock.advance(LIFETIME + timedelta(milliseconds=1))
    assert home.count('e1') == 0


class LoadHomeMachine(RuleBasedStateMachine):
    """Compares a home with a list of the open grants."""

    grants = Bundle('grants')

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.home = LoadHome(self.clock)
        self.open: dict[int, tuple[str, str, float]] = {}

    def count(self, upstream: str) -> int:
        now = self.clock.monotonic()
        return sum(
            name == upstream and expires_at >= now
            for _, name, expires_at in self.open.values()
        )

    @rule(
        target=grants,
        router=st.sampled_from(ROUTERS),
        upstream=st.sampled_from(UPSTREAMS),
        bound=st.floats(0, 4),
    )
    def ask(self, router: str, upstream: str, bound: float) -> tuple[str, int]:
        before = self.count(upstream)
        grant = self.home.grant(router, upstream, bound, LIFETIME)
        assert grant.in_flight == before
        assert grant.is_granted == (before <= bound)
        if grant.is_granted:
            expires_at = self.clock.monotonic() + LIFETIME.total_seconds()
            self.open[grant.number] = (router, upstream, expires_at)
        return router, grant.number

    @rule(granted=consumes(grants), other=st.sampled_from(ROUTERS))
    def release(self, granted: tuple[str, int], other: str) -> None:
        router, number = granted
        if other != router:
            self.home.release(other, number)
        self.home.release(router, number)
        self.open.pop(number, None)

    @rule(router=st.sampled_from(ROUTERS))
    def lose_router(self, router: str) -> None:
        self.home.release_routers([router])
        self.open = {
            number: grant
            for number, grant in self.open.items()
            if grant[0] != router
        }

    @rule(elapsed_ms=st.integers(1, 4000))
    def wait(self, elapsed_ms: int) -> None:
        self.clock.advance(timedelta(milliseconds=elapsed_ms))

    @invariant()
    def counts_open_grants(self) -> None:
        for upstream in UPSTREAMS:
            assert self.home.count(upstream) == self.count(upstream)


LoadHomeMachine.TestCase.settings = settings(max_examples=60, deadline=None)
TestLoadHomeMachine = LoadHomeMachine.TestCase
