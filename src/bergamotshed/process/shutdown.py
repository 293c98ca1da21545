"""
bergamotshed.process.shutdown
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The time that is left to a process that is being stopped.
"""

__all__ = ('ShutdownWindow',)

from collections.abc import Callable
from datetime import timedelta

from ..clock import Clock

#: Time after the signal in which every request is still taken: callers that
#: learned the address just before it keep it for about that long.
TAKE_ALL = timedelta(seconds=3)
#: The same as a part of the grace period, where that is short.
TAKE_ALL_SHARE = 0.375
#: Part of the grace period in which requests may finish, and the least time
#: that is left for the end of the process.
FINISH_SHARE = 0.92
END_TIME = timedelta(milliseconds=500)


class ShutdownWindow:
    """Tells what a stopping process still takes.

    Once nothing new is taken for granted, a request is taken only if its
    longest run ends before the process does; all others would be cut.

    :param grace: gives the time from the signal until the process is
        killed, which a reload may change
    """

    def __init__(self, grace: Callable[[], timedelta], clock: Clock) -> None:
        self._grace = grace
        self._clock = clock
        self._signalled_at: float | None = None

    @property
    def is_stopping(self) -> bool:
        """Return whether the signal has come."""
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
        return min(grace * FINISH_SHARE, grace - END_TIME) - self.elapsed

    def begin(self) -> None:
        """Note the signal; later ones change nothing."""
        if self._signalled_at is None:
            self._signalled_at = self._clock.boottime()

    def can_accept(self, longest: timedelta) -> bool:
        """Tell whether a new request is taken.

        :param longest: how long it may take at most
        """
        if self._signalled_at is None:
            return True
        take_all = min(TAKE_ALL, self._grace() * TAKE_ALL_SHARE)
        return self.elapsed < take_all or longest < self.remaining
