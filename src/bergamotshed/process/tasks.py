"""
bergamotshed.process.tasks
~~~~~~~~~~~~~~~~~~~~~~~~~~

Background tasks as aiomisc services. The failure of a task is logged and the
task restarted after a delay; a failure never ends the process.
"""

__all__ = ('BackgroundTask',)

import asyncio
import contextlib
import traceback
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

import aiomisc
from eliot import log_message

from ..clock import Clock

RESTART_DELAY = timedelta(seconds=1)


class BackgroundTask(aiomisc.Service):
    """Runs one endless coroutine function for as long as the process runs.

    :param run: the coroutine function
    :param clock: times the delay before a restart
    """

    def __init__(self, run: Callable[[], Awaitable[Any]], clock: Clock) -> None:
        super().__init__()
        self._run = run
        self._clock = clock
        self._task: asyncio.Task[None] | None = None
        self._is_stopping = False

    async def start(self) -> None:
        """Start the task."""
        self._task = asyncio.create_task(self._keep_running())

    async def stop(self, exception: Exception | None = None) -> None:
        """Cancel the task and wait for its end."""
        if self._task is None:
            return
        self._is_stopping = True
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    async def _keep_running(self) -> None:
        while True:
            try:
                await self._run()
            except Exception:
                log_message('task.failed', failure=traceback.format_exc())
            if self._is_stopping:
                # A task group replaces its cancellation by a child's error.
                return
            await self._clock.sleep(RESTART_DELAY)
