"""
bergamotshed.weights.rate_limiter
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Limits the fetches of one process to the rate of the weight store.
"""

__all__ = ('RateLimitedWeightStore', 'RateLimiter')

import asyncio
from datetime import timedelta

from ..clock import Clock
from .types import WeightsRequest, WeightStore, WeightStoreBusy

MAX_TRIES = 5


class RateLimiter:
    """Limits calls to a steady rate and allows bursts after idle time.

    :param rate: calls per second
    :param burst: calls that may follow at once after idle time
    """

    def __init__(self, clock: Clock, rate: float, burst: int = 1) -> None:
        self._clock = clock
        self._interval_s = 1 / rate
        self._burst_window_s = self._interval_s * (burst - 1)
        self._next_s = clock.monotonic()
        self._lock = asyncio.Lock()

    def pause(self, duration: timedelta) -> None:
        """Allow no call for a duration."""
        resume_at_s = self._clock.monotonic() + duration.total_seconds()
        self._next_s = max(self._next_s, resume_at_s + self._burst_window_s)

    async def wait(self) -> None:
        """Wait until the next call is allowed; first come, first served."""
        async with self._lock:
            while self._time_until_due() > timedelta(0):
                await self._clock.sleep(self._time_until_due())
            now_s = self._clock.monotonic()
            self._next_s = max(self._next_s, now_s) + self._interval_s

    def _time_until_due(self) -> timedelta:
        due_s = self._next_s - self._burst_window_s
        return timedelta(seconds=due_s - self._clock.monotonic())


class RateLimitedWeightStore(WeightStore):
    """Limits the rate of requests and retries while the store is busy.

    :param tries: maximum number of requests for one ticket
    """

    def __init__(
        self, store: WeightStore, limiter: RateLimiter, tries: int = MAX_TRIES
    ) -> None:
        self._store = store
        self._limiter = limiter
        self._tries = tries

    async def fetch(self, request: WeightsRequest) -> str:
        """Return the ticket with which the engine fetches.

        :raises WeightStoreBusy: the store is still busy after all tries
        :raises WeightStoreUnavailable: the store refused or can't be reached
        """
        for _ in range(self._tries - 1):
            await self._limiter.wait()
            try:
                return await self._store.fetch(request)
            except WeightStoreBusy as busy:
                self._limiter.pause(busy.retry_after)
        await self._limiter.wait()
        return await self._store.fetch(request)
