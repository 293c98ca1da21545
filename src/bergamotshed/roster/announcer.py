"""
bergamotshed.roster.announcer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Announces this router in the store.
"""

__all__ = ('Announcer',)

import asyncio
from datetime import timedelta

from eliot import log_message
from msgspec.structs import replace

from ..backoff import Backoff
from ..clock import Clock
from ..store.types import KeyedStore, StoreError, Topic
from .types import RosterEntry, encode_entry

#: Longest backoff between attempts to write the entry.
MAX_PAUSE = timedelta(seconds=1)


class Announcer:
    """Writes this router's entry to the store at its start and when it leaves.

    Retries until the store acknowledges the entry. A single task does all
    writes, so that the latest entry is always written last.
    """

    def __init__(
        self, store: KeyedStore, entry: RosterEntry, clock: Clock
    ) -> None:
        self._store = store
        self._entry = entry
        self._clock = clock
        self._changed = asyncio.Event()
        self._changed.set()

    def leave(self) -> None:
        """Announce that this router is shutting down."""
        self._entry = replace(self._entry, leaving=True)
        self._changed.set()

    async def run(self) -> None:
        """Write the entry whenever it changes, until cancelled."""
        backoff = Backoff(longest=MAX_PAUSE)
        while True:
            await self._changed.wait()
            self._changed.clear()
            entry = self._entry
            try:
                await self._store.put(
                    Topic.ROUTERS, entry.name, encode_entry(entry)
                )
            except StoreError as error:
                log_message('router.not_announced', detail=str(error))
                self._changed.set()
                await self._clock.sleep(backoff.next())
            else:
                backoff.reset()
                log_message('router.announced', leaving=entry.leaving)
