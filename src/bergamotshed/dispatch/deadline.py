"""
bergamotshed.dispatch.deadline
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The time left to one request.
"""

__all__ = ('Deadline',)

import asyncio
from collections.abc import Awaitable
from datetime import timedelta
from typing import Any, TypeVar

from ..clock import Clock

T = TypeVar('T')


class Deadline:
    """A moment on the monotonic clock, with one timer for all that waits.

    A request waits for each token of its answer, so a timer for each wait
    would cost more than the rest of its bookkeeping. Call :meth:`close` at
    the end of the request.

    :param duration: from now
    """

    def __init__(self, clock: Clock, duration: timedelta) -> None:
        self._clock = clock
        self._end = clock.monotonic() + duration.total_seconds()
        self._timer: asyncio.TimerHandle | None = None
        self._waiting: asyncio.Task[Any] | None = None
        self._rang = False

    @property
    def seconds(self) -> float:
        """Return the seconds that are left, at least zero."""
        return max(0, self._end - self._clock.monotonic())

    @property
    def remaining(self) -> timedelta:
        """Return the time that is left, at least zero."""
        return timedelta(seconds=self.seconds)

    @property
    def has_passed(self) -> bool:
        """Tell whether no time is left."""
        return self.seconds <= 0

    async def wait(self, work: Awaitable[T]) -> T:
        """Wait for one thing at a time, until the deadline.

        :raises TimeoutError: the deadline has passed
        """
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self.seconds, self._ring)
        task = asyncio.current_task()
        if task is None:
            raise RuntimeError('a deadline is waited for outside a task')
        cancelling = task.cancelling()
        self._waiting = task
        if self._rang:
            task.cancel()
        try:
            return await work
        except asyncio.CancelledError as error:
            if self._rang and task.uncancel() <= cancelling:
                raise TimeoutError from error
            raise
        finally:
            self._waiting = None

    def close(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _ring(self) -> None:
        self._rang = True
        if self._waiting is not None:
            self._waiting.cancel()
