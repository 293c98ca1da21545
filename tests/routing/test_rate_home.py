"""Sends to upstreams that limit their requests a second."""

from collections.abc import Iterable
from datetime import timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bergamotshed.clock import ManualClock
from bergamotshed.routing.hashing import rank
from bergamotshed.routing.rate_home import BURST, MIN_RATE, RateHome

UPSTREAM = ('u', 1)
NO_WAIT = timedelta(0)
MILLISECOND = timedelta(milliseconds=1)
ROUTERS = ('a', 'b', 'c', 'd')
LIMIT = 5.0
WINDOW_S = 4.0
#: Stated by the users, for any window: a multiple of what the limit allows, and
#: some requests.
TOLERANCE = 1.5
SLACK_REQUESTS = 5
#: Time after which a router notices that another one is silent, or back.
MAX_VIEW_AGE_S = 1.25


def most_in_window(times: Iterable[float]) -> int:
    sent = sorted(times)
    return max(
        (sum(t <= other < t + WINDOW_S for other in sent) for t in sent),
        default=0,
    )


def test_sends_are_spaced_by_the_limit() -> None:
    clock = ManualClock()
    home = RateHome(clock)
    sent = 0
    for _ in range(1000):
        clock.advance(10 * MILLISECOND)
        sent += home.grant(UPSTREAM, LIMIT, NO_WAIT).is_granted
    assert LIMIT * 10 - 1 <= sent <= LIMIT * 10 + 1


def test_a_new_home_grants_no_burst() -> None:
    clock = ManualClock()
    home = RateHome(clock)
    grants = [home.grant(UPSTREAM, LIMIT, NO_WAIT) for _ in range(5)]
    assert [grant.is_granted for grant in grants] == [True] + [False] * 4
    assert grants[1].wait == timedelta(seconds=1 / LIMIT)


def test_an_unused_share_is_kept_for_a_short_time() -> None:
    clock = ManualClock()
    home = RateHome(clock)
    home.grant(UPSTREAM, 10, NO_WAIT)
    clock.advance(timedelta(minutes=1))
    burst = sum(home.grant(UPSTREAM, 10, NO_WAIT).is_granted for _ in range(50))
    assert burst == 10 * BURST.total_seconds() + 1


def test_requests_that_may_wait_are_sent_in_turn() -> None:
    home = RateHome(ManualClock())
    max_wait = timedelta(milliseconds=450)
    grants = [home.grant(UPSTREAM, LIMIT, max_wait) for _ in range(5)]
    assert [grant.is_granted for grant in grants] == [True] * 3 + [False] * 2
    assert [grant.wait // MILLISECOND for grant in grants] == [
        0,
        200,
        400,
        600,
        600,
    ]


def test_an_upstream_that_takes_nothing_is_asked_rarely() -> None:
    clock = ManualClock()
    home = RateHome(clock)
    assert home.grant(UPSTREAM, 0, NO_WAIT).is_granted
    refused = home.grant(UPSTREAM, 0, NO_WAIT)
    assert not refused.is_granted
    assert refused.wait == timedelta(seconds=1 / MIN_RATE)


class SplitFleet(RuleBasedStateMachine):
    """Routers that are cut off from each other, restart, and see that late."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.homes = {name: RateHome(self.clock) for name in ROUTERS}
        self.side = dict.fromkeys(ROUTERS, 0)
        self.views = {name: set(ROUTERS) for name in ROUTERS}
        self.changed_at = 0.0
        self.sent: list[float] = []

    @rule(
        sides=st.tuples(*[st.integers(0, 2)] * len(ROUTERS)),
    )
    def cut(self, sides: tuple[int, ...]) -> None:
        self.update_views(ROUTERS)
        self.side = dict(zip(ROUTERS, sides, strict=True))
        self.changed_at = self.clock.monotonic()

    @rule(name=st.sampled_from(ROUTERS))
    def see_change(self, name: str) -> None:
        self.update_views((name,))

    @rule(name=st.sampled_from(ROUTERS))
    def restart(self, name: str) -> None:
        self.homes[name] = RateHome(self.clock)

    @rule(
        ticks=st.integers(1, 250),
        senders=st.sets(st.sampled_from(ROUTERS), min_size=2),
    )
    def send(self, ticks: int, senders: set[str]) -> None:
        """Let some routers send as much as they may."""
        for _ in range(ticks):
            self.clock.advance(20 * MILLISECOND)
            if self.clock.monotonic() - self.changed_at > MAX_VIEW_AGE_S:
                self.update_views(ROUTERS)
            for name in sorted(senders):
                self.send_from(name)

    def send_from(self, name: str) -> None:
        home = rank(1, sorted(self.views[name]))[0]
        if self.side[home] != self.side[name]:
            return
        rate = LIMIT * len(self.views[home]) / len(ROUTERS)
        if self.homes[home].grant(UPSTREAM, rate, NO_WAIT).is_granted:
            self.sent.append(self.clock.monotonic())

    def update_views(self, names: Iterable[str]) -> None:
        for name in names:
            self.views[name] = {
                other
                for other in ROUTERS
                if self.side[other] == self.side[name]
            }

    @invariant()
    def the_limit_holds(self) -> None:
        allowed = TOLERANCE * LIMIT * WINDOW_S + SLACK_REQUESTS
        assert most_in_window(self.sent) <= allowed


SplitFleet.TestCase.settings = settings(
    max_examples=100, stateful_step_count=20, deadline=None, derandomize=True
)
TestSplitFleet = SplitFleet.TestCase
