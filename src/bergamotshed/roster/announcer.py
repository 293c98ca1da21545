"""
bergamotshed.roster.announcer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Announces this router in the store.
"""

__all__ = ('Announcer',)

import asyncio
from collections.abc import Callable
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

    Retries until the store acknowledges the entry, and writes it again if a
    listing lacks it, because the store came back from an older copy. A single
    task does all writes, so that the latest entry is always written last.

    :param rewrite_delay: draws the pause before the entry is written again, so
        that not all routers do so at the same moment
    """

    def __init__(
        self,
        store: KeyedStore,
        entry: RosterEntry,
        clock: Clock,
        rewrite_delay: Callable[[], timedelta],
    ) -> None:
        self._store = store
        self._entry = entry
        self._clock = clock
        self._rewrite_delay = rewrite_delay
        self._is_lost = False
        self._changed = asyncio.Event()
        self._changed.set()

    def leave(self) -> None:
        """Announce that this router is shutting down."""
        self._entry = replace(self._entry, leaving=True)
        self._changed.set()

    def check_listed(self, listed: RosterEntry | None) -> None:
        """Write the entry again if a listing has another one, or none."""
        if listed != self._entry and not self._changed.is_set():
            log_message('router.entry_lost', leaving=self._entry.leaving)
            self._is_lost = True
            self._changed.set()

    async def run(self) -> None:
        """Write the entry whenever it changes, until cancelled."""
        backoff = Backoff(max_pause=MAX_PAUSE)
        while True:
            await self._changed.wait()
            if self._is_lost:
                self._is_lost = False
                await self._clock.sleep(self._rewrite_delay())
            self._changed.clear()
            if await self._write(self._entry):
                backoff.reset()
            else:
                self._changed.set()
                await self._clock.sleep(backoff.next_pause())

    async def _write(self, entry: RosterEntry) -> bool:
        """Write the entry; return whether the store acknowledged it."""
        try:
            await self._store.put(
                Topic.ROUTERS, entry.name, encode_entry(entry)
            )
        except StoreError as error:
            log_message('router.not_announced', detail=str(error))
            return False
        log_message('router.announced', leaving=entry.leaving)
        return True
