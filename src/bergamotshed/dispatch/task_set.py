"""
bergamotshed.dispatch.task_set
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Background tasks that may outlast the request that started them.
"""

__all__ = ('TaskSet',)

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

_T = TypeVar('_T')


class TaskSet:
    """Holds references to running tasks until they end."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def count(self) -> int:
        """Return the number of running tasks."""
        return len(self._tasks)

    def start(self, work: Coroutine[Any, Any, _T]) -> asyncio.Task[_T]:
        """Run a coroutine in a new task."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def wait(self) -> None:
        """Wait until all tasks have ended."""
        while self._tasks:
            await asyncio.wait(self._tasks)
