"""
bergamotshed.process.shutdown
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The time that remains to a process that is being stopped.
"""

__all__ = ('ShutdownWindow',)

import math
from collections.abc import Callable
from datetime import timedelta

from ..clock import Clock

#: Time after the signal in which every request is still accepted: callers that
#: fetched the entry addresses just before it use them for about that long.
ACCEPT_ALL_TIME = timedelta(seconds=3)
#: Largest share of the grace period for that time, when the period is short.
ACCEPT_ALL_SHARE = 0.375
#: Share of the grace period in which requests may finish, and the least time
#: that is reserved for the exit of the process.
FINISH_SHARE = 0.92
EXIT_TIME = timedelta(milliseconds=500)
#: Time between two checks that no signal is waiting to be handled.
CHECK_INTERVAL = timedelta(milliseconds=50)


class ShutdownWindow:
    """Decides which requests a stopping process still accepts.

    At first it accepts all. Later it accepts a request only if its longest
    run ends before the process does; any other could be cut off.

    A process that was paused handles a signal long after it was sent, while
    the grace period counts from its sending. New requests are accepted as if
    it had been sent right after the last time at which none was waiting.

    :param grace: returns the time from the signal until the process is
        killed, which a reload may change
    """

    def __init__(self, grace: Callable[[], timedelta], clock: Clock) -> None:
        self._grace = grace
        self._clock = clock
        self._handled_at: float | None = None
        now = clock.boottime()
        self._last_checks = (now, now)

    @property
    def is_stopping(self) -> bool:
        """Return whether the signal was received."""
        return self._handled_at is not None

    @property
    def elapsed(self) -> timedelta:
        """Return the time since the signal was handled; zero before it."""
        return self._since(self._handled_at)

    @property
    def max_elapsed(self) -> timedelta:
        """Return the longest time for which the signal may have been sent;
        zero before it is handled.
        """
        if self._handled_at is None:
            return timedelta(0)
        return self._since(self._last_checks[0])

    @property
    def remaining(self) -> timedelta:
        """Return the time in which requests in flight may finish, if the
        signal was handled at once.
        """
        return self._finish_time - self.elapsed

    @property
    def finish_by(self) -> float:
        """Return when requests that are accepted now must have ended, in
        monotonic seconds; infinity before the signal.
        """
        if self._handled_at is None:
            return math.inf
        return self._clock.monotonic() + self._min_remaining.total_seconds()

    def begin(self) -> None:
        """Record the signal; later ones have no effect."""
        if self._handled_at is None:
            self._handled_at = self._clock.boottime()

    def record_check(self) -> None:
        """Record that the event loop runs and no signal was handled yet.

        A signal that was sent before a check is handled before the next one.
        """
        if self._handled_at is None:
            self._last_checks = (self._last_checks[1], self._clock.boottime())

    async def run(self) -> None:
        """Check periodically until cancelled."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL)
            self.record_check()

    def can_accept(self, max_duration: timedelta) -> bool:
        """Return whether a new request is accepted.

        :param max_duration: the longest time that it may take
        """
        if self._handled_at is None:
            return True
        accept_all_time = min(ACCEPT_ALL_TIME, self._grace() * ACCEPT_ALL_SHARE)
        return (
            self.max_elapsed < accept_all_time
            or max_duration < self._min_remaining
        )

    @property
    def _finish_time(self) -> timedelta:
        """Return the time from the signal in which requests may finish."""
        grace = self._grace()
        return min(grace * FINISH_SHARE, grace - EXIT_TIME)

    @property
    def _min_remaining(self) -> timedelta:
        return self._finish_time - self.max_elapsed

    def _since(self, boottime: float | None) -> timedelta:
        if boottime is None:
            return timedelta(0)
        return timedelta(seconds=self._clock.boottime() - boottime)
