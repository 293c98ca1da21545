"""
tests.waiting
~~~~~~~~~~~~~

Waits for conditions instead of fixed times.
"""

__all__ = ('until',)

import asyncio
import inspect
from collections.abc import Callable
from typing import Any

POLL_S = 0.02


async def until(condition: Callable[[], Any], seconds: float = 10) -> Any:
    """Wait until the condition returns a true value, and return that value.

    :param condition: a function or coroutine function
    :raises TimeoutError: the condition stayed false for too long
    """
    async with asyncio.timeout(seconds):
        while True:
            outcome = condition()
            if inspect.isawaitable(outcome):
                outcome = await outcome
            if outcome:
                return outcome
            await asyncio.sleep(POLL_S)
