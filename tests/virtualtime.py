import asyncio
import selectors
from datetime import UTC, datetime, timedelta
from typing import Any

from bergamotshed.clock import Clock

START = datetime(2026, 1, 1, tzinfo=UTC)


class _Selector(selectors.SelectSelector):
    loop: 'VirtualLoop'

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError('deadlock: no task is ready and no timer is set')
        self.loop.elapsed += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time jumps to the next timer when idle."""

    def __init__(self) -> None:
        self.elapsed = 0.0
        selector = _Selector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        return self.elapsed


class VirtualClock(Clock):
    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop

    def now(self) -> datetime:
        return START + timedelta(seconds=self._loop.elapsed)

    def monotonic(self) -> float:
        return self._loop.elapsed

    async def sleep(self, duration: timedelta) -> None:
        await asyncio.sleep(duration.total_seconds())
