"""
bergamotshed.weights.rate_limiter
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Keeps one process's fetches within the weight store's rate.
"""

__all__ = ('RateLimitedWeightStore', 'RateLimiter')

import asyncio
from datetime import timedelta

from ..clock import Clock
from .types import WeightsRequest, WeightStore, WeightStoreBusy

MAX_TRIES = 5


class RateLimiter:
    """Turns at a steady rate, with some saved up for a burst.

    :param rate: turns a second
    :param burst: turns that may come at once after a pause
    """

    def __init__(self, clock: Clock, rate: float, burst: int = 1) -> None:
        self._clock = clock
        self._interval = 1 / rate
        self._saved = self._interval * (burst - 1)
        self._next = clock.monotonic()
        self._turn = asyncio.Lock()

    def pause(self, duration: timedelta) -> None:
        """Give no turn for a while."""
        until = self._clock.monotonic() + duration.total_seconds()
        self._next = max(self._next, until + self._saved)

    async def wait(self) -> None:
        """Wait for the next turn; first come, first served."""
        async with self._turn:
            while self._pause() > timedelta(0):
                await self._clock.sleep(self._pause())
            now = self._clock.monotonic()
            self._next = max(self._next, now) + self._interval

    def _pause(self) -> timedelta:
        due = self._next - self._saved
        return timedelta(seconds=due - self._clock.monotonic())


class RateLimitedWeightStore(WeightStore):
    """Waits for its turn and tries again when the store is busy.

    :param tries: how often to ask for one ticket
    """

    def __init__(
        self, store: WeightStore, limiter: RateLimiter, tries: int = MAX_TRIES
    ) -> None:
        self._store = store
        self._limiter = limiter
        self._tries = tries

    async def fetch(self, request: WeightsRequest) -> str:
        """Return the ticket with which the engine fetches.

        :raises WeightStoreBusy: still busy after all tries
        :raises WeightStoreUnavailable: refused or not reached
        """
        for _ in range(self._tries - 1):
            await self._limiter.wait()
            try:
                return await self._store.fetch(request)
            except WeightStoreBusy as busy:
                self._limiter.pause(busy.retry_after)
        await self._limiter.wait()
        return await self._store.fetch(request)
