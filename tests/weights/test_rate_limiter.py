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
    """Is busy for the first calls."""

    def __init__(self, clock: ManualClock, busy: int) -> None:
        self.calls: list[float] = []
        self._clock = clock
        self._busy = busy

    async def fetch(self, request: WeightsRequest) -> str:
        self.calls.append(self._clock.monotonic())
        if len(self.calls) <= self._busy:
            raise WeightStoreBusy(BUSY_FOR)
        return 'ticket'


@pytest.mark.parametrize(
    ('burst', 'turns'),
    [(1, [0, 0.5, 1, 1.5]), (3, [0, 0, 0, 0.5])],
)
async def test_turns(burst: int, turns: list[float]) -> None:
    clock = ManualClock()
    limiter = RateLimiter(clock, rate=2, burst=burst)
    taken = []
    for _ in turns:
        await limiter.wait()
        taken.append(clock.monotonic())
    assert taken == turns


@pytest.mark.parametrize(
    ('busy', 'calls'), [(0, [0]), (1, [0, 3]), (2, [0, 3, 6])]
)
async def test_a_busy_store_is_asked_again(
    busy: int, calls: list[float]
) -> None:
    clock = ManualClock()
    store = BusyStore(clock, busy)
    paced = RateLimitedWeightStore(
        store, RateLimiter(clock, rate=2, burst=3), tries=3
    )
    assert await paced.fetch(REQUEST) == 'ticket'
    assert store.calls == calls


async def test_tries_are_bounded() -> None:
    clock = ManualClock()
    store = BusyStore(clock, 9)
    paced = RateLimitedWeightStore(store, RateLimiter(clock, rate=2), tries=3)
    with pytest.raises(WeightStoreBusy):
        await paced.fetch(REQUEST)
    assert len(store.calls) == 3
