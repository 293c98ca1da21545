"""
bergamotshed.store.confirmation
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Confirms what is known of a topic, with one read for all that wait for it.
"""

__all__ = ('SharedConfirmation',)

import asyncio
from collections.abc import Awaitable, Callable


class SharedConfirmation:
    """Shares a read among the callers that came before it was sent.

    A caller that comes while a read is in progress waits for the next one: the
    answer may be as old as the read, which takes long if the process stands
    still meanwhile.

    :param confirm: reads the store; returns whether all changes are known
    """

    def __init__(self, confirm: Callable[[], Awaitable[bool]]) -> None:
        self._confirm = confirm
        self._reading: asyncio.Future[bool] | None = None
        self._next: asyncio.Future[bool] | None = None

    async def __call__(self) -> bool:
        """Return whether all changes of before the call are known."""
        if self._next is None:
            self._next = asyncio.ensure_future(self._read_after(self._reading))
        return await asyncio.shield(self._next)

    async def _read_after(self, reading: 'asyncio.Future[bool] | None') -> bool:
        if reading is not None:
            await asyncio.wait((reading,))
        self._reading = self._next
        self._next = None
        return await self._confirm()
