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

#: Longest pause between two tries to announce.
MAX_PAUSE = timedelta(seconds=1)


class Announcer:
    """Writes this router's entry at its start and when it leaves.

    An entry is repeated until the store acknowledges it. Of two at once the
    later one is written last, as one task writes them all.
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
        """Announce from now on that this router leaves."""
        self._entry = replace(self._entry, leaving=True)
        self._changed.set()

    async def run(self) -> None:
        """Write the entry whenever it changes, until cancelled."""
        pauses = Backoff(max_pause=MAX_PAUSE)
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
                await self._clock.sleep(pauses.next_pause())
            else:
                pauses.reset()
                log_message('router.announced', leaving=entry.leaving)
