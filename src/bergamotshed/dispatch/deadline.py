"""
bergamotshed.dispatch.deadline
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The deadline of one request.
"""

__all__ = ('Deadline',)

import asyncio
from collections.abc import Awaitable
from datetime import timedelta
from typing import Any, TypeVar

from ..clock import Clock

T = TypeVar('T')


class Deadline:
    """A deadline on the monotonic clock, with one timer for all waits.

    A request waits for each token of its answer, so a timer for each wait
    would cost more than the rest of its bookkeeping. Call :meth:`close` at
    the end of the request.

    :param duration: time from now to the deadline
    """

    def __init__(self, clock: Clock, duration: timedelta) -> None:
        self._clock = clock
        self._ends_at = clock.monotonic() + duration.total_seconds()
        self._timer: asyncio.TimerHandle | None = None
        self._waiting_task: asyncio.Task[Any] | None = None
        self._is_expired = False

    @property
    def remaining_s(self) -> float:
        """Return the remaining seconds, at least zero."""
        return max(0, self._ends_at - self._clock.monotonic())

    @property
    def remaining(self) -> timedelta:
        """Return the remaining time, at least zero."""
        return timedelta(seconds=self.remaining_s)

    @property
    def has_passed(self) -> bool:
        """Return whether no time remains."""
        return self.remaining_s <= 0

    async def wait(self, work: Awaitable[T]) -> T:
        """Await the work until the deadline; allows one wait at a time.

        :raises TimeoutError: the deadline has passed
        """
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self.remaining_s, self._expire)
        task = asyncio.current_task()
        if task is None:
            raise RuntimeError(
                'Deadline.wait() must be called in an asyncio task'
            )
        cancel_count = task.cancelling()
        self._waiting_task = task
        if self._is_expired:
            task.cancel()
        try:
            return await work
        except asyncio.CancelledError as error:
            if self._is_expired and task.uncancel() <= cancel_count:
                raise TimeoutError from error
            raise
        finally:
            self._waiting_task = None

    def close(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _expire(self) -> None:
        self._is_expired = True
        if self._waiting_task is not None:
            self._waiting_task.cancel()
