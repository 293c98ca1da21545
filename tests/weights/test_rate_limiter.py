from datetime import timedelta

import pytest

from bergamotshed.clock import ManualClock
from bergamotshed.weights.rate_limiter import (
    RateLimitedWeightStore,
    RateLimiter,
)
from bergamotshed.weights.types import (
    WeightsRequest,
    WeightStore,
    WeightStoreBusy,
)

REQUEST = WeightsRequest('drafter', '1', 'e1')
BUSY_FOR = timedelta(seconds=3)


class BusyStore(WeightStore):
    """Raises :class:`WeightStoreBusy` for the first calls."""

    def __init__(self, clock: ManualClock, busy_calls: int) -> None:
        self.call_times: list[float] = []
        self._clock = clock
        self._busy_calls = busy_calls

    async def fetch(self, request: WeightsRequest) -> str:
        self.call_times.append(self._clock.monotonic())
        if len(self.call_times) <= self._busy_calls:
            raise WeightStoreBusy(BUSY_FOR)
        return 'ticket'


@pytest.mark.parametrize(
    ('burst', 'call_times'),
    [(1, [0, 0.5, 1, 1.5]), (3, [0, 0, 0, 0.5])],
)
async def test_calls_are_spaced_at_the_rate(
    burst: int, call_times: list[float]
) -> None:
    clock = ManualClock()
    limiter = RateLimiter(clock, rate=2, burst=burst)
    measured_times = []
    for _ in call_times:
        await limiter.wait()
        measured_times.append(clock.monotonic())
    assert measured_times == call_times


@pytest.mark.parametrize(
    ('busy_calls', 'call_times'), [(0, [0]), (1, [0, 3]), (2, [0, 3, 6])]
)
async def test_busy_store_is_retried(
    busy_calls: int, call_times: list[float]
) -> None:
    clock = ManualClock()
    store = BusyStore(clock, busy_calls)
    paced = RateLimitedWeightStore(
        store, RateLimiter(clock, rate=2, burst=3), tries=3
    )
    assert await paced.fetch(REQUEST) == 'ticket'
    assert store.call_times == call_times


async def test_number_of_tries_is_limited() -> None:
    clock = ManualClock()
    store = BusyStore(clock, 9)
    paced = RateLimitedWeightStore(store, RateLimiter(clock, rate=2), tries=3)
    with pytest.raises(WeightStoreBusy):
        await paced.fetch(REQUEST)
    assert len(store.call_times) == 3
