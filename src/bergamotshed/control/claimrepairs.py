"""
bergamotshed.control.claimrepairs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Completes claims in the background: retries the append of answers and voids
until the log accepts them, and voids claims whose request was never run.
"""

__all__ = ('ClaimRepairs', 'ClaimRun')

import asyncio
from collections.abc import Sized
from contextlib import suppress
from dataclasses import dataclass
from datetime import timedelta

from eliot import log_message

from ..clock import Clock
from ..log.types import LogError
from ..routing.claimtable import SettledEntry, VoidedEntry
from .claimstream import ClaimStream

#: Time between two attempts to append what the log has not accepted.
RETRY_INTERVAL = timedelta(seconds=1)

#: Timeout of the last attempt when the router stops.
CLOSE_TIMEOUT = timedelta(seconds=2)

#: Largest number of answers and voids that wait for the log, and of
#: abandoned runs; more are dropped.
MAX_PENDING = 10_000


@dataclass(slots=True)
class ClaimRun:
    """One run of a request that claims an idempotency key.

    :ivar key: digest of organisation and idempotency key
    :ivar number: random number that identifies the run
    :ivar may_append_until: monotonic time in seconds until which the log
        may still apply an append of the claim whose answer was lost; 0 for
        no such append
    :ivar is_appended: whether the log confirmed the append of the claim
    """

    stream: ClaimStream
    key: bytes
    number: int
    may_append_until: float = 0
    is_appended: bool = False


@dataclass(frozen=True, slots=True)
class _PendingEntry:
    run: ClaimRun
    entry: SettledEntry | VoidedEntry


class ClaimRepairs:
    """Entries that the log has not accepted yet, and abandoned runs.

    An abandoned run is not executed unless it is reclaimed; if its claim
    turns out to hold the key, it is voided.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._abandoned: dict[int, ClaimRun] = {}
        self._pending_entries: dict[int, _PendingEntry] = {}
        self._task: asyncio.Task[None] | None = None

    @property
    def pending(self) -> int:
        """Return the number of pending entries and abandoned runs."""
        return len(self._pending_entries) + len(self._abandoned)

    def abandon(self, run: ClaimRun) -> None:
        """Abandon a run, and void its claim if that holds the key."""
        may_hold = run.is_appended or run.may_append_until > 0
        if may_hold and _has_room(self._abandoned, run, 'abandoned run'):
            self._abandoned[run.number] = run
            self._start()

    def reclaim(self, number: int) -> ClaimRun | None:
        """Remove and return an abandoned run, to execute it after all."""
        return self._abandoned.pop(number, None)

    def is_voiding(self, number: int) -> bool:
        """Return whether the void of a run waits for the log."""
        pending = self._pending_entries.get(number)
        return pending is not None and isinstance(pending.entry, VoidedEntry)

    def enqueue(self, run: ClaimRun, entry: SettledEntry | VoidedEntry) -> None:
        """Append an entry, and retry until the log accepts it."""
        kind = type(entry).__name__
        if _has_room(self._pending_entries, run, kind):
            self._pending_entries[run.number] = _PendingEntry(run, entry)
            self._start()

    async def close(self) -> None:
        """Try once more to append the pending entries, then stop."""
        if self._task is not None:
            self._task.cancel()
        with suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT.total_seconds()):
                await self.repair()

    async def repair(self) -> None:
        """Try once to append all entries and to void abandoned runs."""
        waiting = tuple(self._pending_entries.values())
        await asyncio.gather(*(self._retry_append(entry) for entry in waiting))
        for run in tuple(self._abandoned.values()):
            await self._void_abandoned(run)

    def _start(self) -> None:
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while self.pending:
            await self.repair()
            if self.pending:
                await self._clock.sleep(RETRY_INTERVAL)

    async def _retry_append(self, pending: _PendingEntry) -> None:
        try:
            await pending.run.stream.append(pending.entry)
        except LogError:
            return
        self._pending_entries.pop(pending.run.number, None)

    async def _void_abandoned(self, run: ClaimRun) -> None:
        try:
            await run.stream.refresh()
        except LogError:
            return
        if run.number not in self._abandoned:
            return
        holder = run.stream.table.holder(run.key)
        if holder is not None and holder.run == run.number:
            self._abandoned.pop(run.number)
            self.enqueue(run, VoidedEntry(run.key, run.number))
        elif run.may_append_until <= self._clock.monotonic():
            self._abandoned.pop(run.number)


def _has_room(pending: Sized, run: ClaimRun, kind: str) -> bool:
    """Return whether one more may be pending; log if it is dropped.

    :param kind: what would be dropped
    """
    if len(pending) < MAX_PENDING:
        return True
    log_message(
        'claims.repair_dropped', run=run.number, kind=kind, limit=MAX_PENDING
    )
    return False
