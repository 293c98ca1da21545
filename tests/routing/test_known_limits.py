"""Limits that upstreams name in their answers."""

from datetime import timedelta

import pytest

from bergamotshed.clock import ManualClock
from bergamotshed.routing.known_limits import KnownLimits, RateLimit

UPSTREAM = ('u', 1)
SECOND = timedelta(seconds=1)

# name: (limits in the answers, one second apart, whether the last is notable)
SERIES: dict[str, tuple[list[float | None], bool]] = {
    'none': ([None], False),
    'the first': ([2.0], True),
    'the same again': ([2.0, 2.0], False),
    'a slight change': ([2.0, 2.2], False),
    'a large change': ([2.0, 3.0], True),
    'down to nothing': ([2.0, 0.0], True),
    'its end': ([2.0, None], True),
    'still none after its end': ([2.0, None, None], False),
    'again after its end': ([2.0, None, 2.0], True),
}


@pytest.mark.parametrize('name', SERIES)
def test_peers_are_told_of_notable_changes(name: str) -> None:
    rates, is_notable = SERIES[name]
    clock = ManualClock()
    known = KnownLimits(clock)
    for rate in rates:
        clock.advance(SECOND)
        notable = known.record_answer(UPSTREAM, rate, clock.monotonic())
    assert notable is is_notable
    assert known.rate_of(UPSTREAM) == rates[-1]


def test_an_answer_to_an_older_request_does_not_end_a_limit() -> None:
    clock = ManualClock()
    known = KnownLimits(clock)
    sent_at = clock.monotonic()
    clock.advance(SECOND)
    known.record_answer(UPSTREAM, 2.0, sent_at)
    clock.advance(SECOND)
    assert not known.record_answer(UPSTREAM, None, sent_at)
    assert known.rate_of(UPSTREAM) == 2


def test_only_newer_news_of_peers_count() -> None:
    clock = ManualClock()
    clock.advance(10 * SECOND)
    known = KnownLimits(clock)
    known.learn(UPSTREAM, RateLimit(3.0, 5.0))
    known.learn(UPSTREAM, RateLimit(None, 4.0))
    assert known.rate_of(UPSTREAM) == 3
    known.learn(UPSTREAM, RateLimit(None, 6.0))
    assert known.rate_of(UPSTREAM) is None
    assert known.limits == {}


def test_an_upstream_is_blocked_for_a_while() -> None:
    clock = ManualClock()
    known = KnownLimits(clock)
    known.block(UPSTREAM, SECOND)
    assert known.time_blocked(UPSTREAM) == SECOND
    clock.advance(2 * SECOND)
    assert known.time_blocked(UPSTREAM) == timedelta(0)


def test_the_end_of_a_limit_ends_its_block() -> None:
    clock = ManualClock()
    known = KnownLimits(clock)
    known.record_answer(UPSTREAM, 2.0, 0)
    known.block(UPSTREAM, SECOND)
    clock.advance(SECOND / 10)
    known.record_answer(UPSTREAM, None, clock.monotonic())
    assert not known.time_blocked(UPSTREAM)


def test_unlisted_upstreams_are_forgotten() -> None:
    known = KnownLimits(ManualClock())
    known.record_answer(UPSTREAM, 2.0, 0)
    known.record_answer(('other', 1), 2.0, 0)
    known.forget_unlisted([('other', 1)])
    assert list(known.limits) == [('other', 1)]
