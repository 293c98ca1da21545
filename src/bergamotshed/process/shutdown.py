"""
bergamotshed.process.shutdown
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The time that remains to a process that is being stopped.
"""

__all__ = ('ShutdownWindow',)

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


class ShutdownWindow:
    """Decides which requests a stopping process still accepts.

    At first it accepts all. Later it accepts a request only if its longest
    run ends before the process does; any other could be cut off.

    :param grace: returns the time from the signal until the process is
        killed, which a reload may change
    """

    def __init__(self, grace: Callable[[], timedelta], clock: Clock) -> None:
        self._grace = grace
        self._clock = clock
        self._signalled_at: float | None = None

    @property
    def is_stopping(self) -> bool:
        """Return whether the signal was received."""
        return self._signalled_at is not None

    @property
    def elapsed(self) -> timedelta:
        """Return the time since the signal; zero before it."""
        if self._signalled_at is None:
            return timedelta(0)
        return timedelta(seconds=self._clock.boottime() - self._signalled_at)

    @property
    def remaining(self) -> timedelta:
        """Return the time in which requests in flight may finish."""
        grace = self._grace()
        return min(grace * FINISH_SHARE, grace - EXIT_TIME) - self.elapsed

    def begin(self) -> None:
        """Record the signal; later ones have no effect."""
        if self._signalled_at is None:
            self._signalled_at = self._clock.boottime()

    def can_accept(self, max_duration: timedelta) -> bool:
        """Return whether a new request is accepted.

        :param max_duration: the longest time that it may take
        """
        if self._signalled_at is None:
            return True
        accept_all_time = min(ACCEPT_ALL_TIME, self._grace() * ACCEPT_ALL_SHARE)
        return self.elapsed < accept_all_time or max_duration < self.remaining
