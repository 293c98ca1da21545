"""
bergamotshed.store.confirmation
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Confirms what is known of a topic, with one read for all that wait for it.
"""

__all__ = ('SharedConfirmation',)

import asyncio
from collections.abc import Awaitable, Callable


class SharedConfirmation:
    """Shares a confirmation that is in progress among its callers.

    :param confirm: reads the store; returns whether all changes are known
    """

    def __init__(self, confirm: Callable[[], Awaitable[bool]]) -> None:
        self._confirm = confirm
        self._pending: asyncio.Future[bool] | None = None

    async def __call__(self) -> bool:
        """Return whether all changes are known."""
        if self._pending is None:
            self._pending = asyncio.ensure_future(self._confirm())
            self._pending.add_done_callback(self._clear)
        return await asyncio.shield(self._pending)

    def _clear(self, _done: 'asyncio.Future[bool]') -> None:
        self._pending = None
