"""
bergamotshed.clock
~~~~~~~~~~~~~~~~~~

The clock interface that is injected wherever code waits or measures time.
"""

__all__ = ('Clock', 'ManualClock', 'SystemClock')

import asyncio
import time
from abc import ABC, abstractmethod
from datetime import UTC, datetime, timedelta


class Clock(ABC):
    """A source of time; subclasses need not override :meth:`boottime`."""

    @abstractmethod
    def now(self) -> datetime:
        """Return the wall-clock time in UTC, for timestamps only."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return seconds that never go back, for measuring durations."""

    def boottime(self) -> float:
        """Return monotonic seconds that include time spent suspended.

        Every time limit that is guaranteed to other parties is measured with
        it, such as the delay after which a revoked API key must be refused.
        """
        return self.monotonic()

    @abstractmethod
    async def sleep(self, duration: timedelta) -> None:
        """Wait for the duration."""


class SystemClock(Clock):
    """The clock of the operating system."""

    def now(self) -> datetime:
        """Return the system's wall-clock time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> float:
        """Return the system's monotonic time in seconds."""
        return time.monotonic()

    def boottime(self) -> float:
        """Return the seconds since boot, including time spent suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep(self, duration: timedelta) -> None:
        """Wait on the event loop."""
        await asyncio.sleep(duration.total_seconds())


class ManualClock(Clock):
    """A clock for tests that moves only when it is advanced.

    :param start: the first value of :meth:`now`
    """

    def __init__(self, start: datetime | None = None) -> None:
        self._start = start or datetime.fromtimestamp(0, UTC)
        self._elapsed = timedelta()

    def advance(self, duration: timedelta) -> None:
        """Move the clock forward."""
        self._elapsed += duration

    def now(self) -> datetime:
        """Return the start time plus the total advance."""
        return self._start + self._elapsed

    def monotonic(self) -> float:
        """Return the total advance in seconds."""
        return self._elapsed.total_seconds()

    async def sleep(self, duration: timedelta) -> None:
        """Advance by the duration at once and let other tasks run."""
        self.advance(duration)
        await asyncio.sleep(0)
