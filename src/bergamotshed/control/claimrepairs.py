"""
bergamotshed.control.claimrepairs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Brings claims into order in the background: appends answers and voids until
the log takes them, and voids the claims of requests that never ran.
"""

__all__ = ('ClaimRepairs', 'ClaimRun')

import asyncio
from contextlib import suppress
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from ..log.types import LogError
from ..routing.claimtable import SettledEntry, VoidedEntry
from .claimstream import ClaimStream

#: Pause between two tries of entries that the log did not take.
REPAIR_INTERVAL = timedelta(seconds=1)

#: How long the last try may take when the router stops.
CLOSE_TIMEOUT = timedelta(seconds=2)

#: Answers and voids that wait for the log, at most.
MAX_REPAIRS = 10_000


@dataclass(slots=True)
class ClaimRun:
    """One attempt to win a key.

    :ivar may_append_until: until then its claim may still reach the log, in
        monotonic seconds
    :ivar is_appended: its claim is in the log
    """

    stream: ClaimStream
    key: bytes
    number: int
    may_append_until: float = 0
    is_appended: bool = False


@dataclass(frozen=True, slots=True)
class _Repair:
    run: ClaimRun
    entry: SettledEntry | VoidedEntry


class ClaimRepairs:
    """What is still to be told to the log.

    A run that was abandoned is never run; if its claim turns out to hold
    its key, the key is given back.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._abandoned: dict[int, ClaimRun] = {}
        self._repairs: dict[int, _Repair] = {}
        self._task: asyncio.Task[None] | None = None

    @property
    def pending(self) -> int:
        """Return how many entries and runs wait for the log."""
        return len(self._repairs) + len(self._abandoned)

    def abandon(self, run: ClaimRun) -> None:
        """Never run this; void it if it holds its key."""
        may_hold = run.is_appended or run.may_append_until > 0
        if may_hold and len(self._abandoned) < MAX_REPAIRS:
            self._abandoned[run.number] = run
            self._start()

    def reclaim(self, number: int) -> ClaimRun | None:
        """Take an abandoned run back, to run it after all."""
        return self._abandoned.pop(number, None)

    def is_voiding(self, number: int) -> bool:
        """Tell whether a run's void waits for the log."""
        repair = self._repairs.get(number)
        return repair is not None and isinstance(repair.entry, VoidedEntry)

    def append_soon(
        self, run: ClaimRun, entry: SettledEntry | VoidedEntry
    ) -> None:
        """Append an entry as soon as the log takes it."""
        if len(self._repairs) < MAX_REPAIRS:
            self._repairs[run.number] = _Repair(run, entry)
            self._start()

    async def close(self) -> None:
        """Try once more to append what waits, then stop."""
        if self._task is not None:
            self._task.cancel()
        with suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT.total_seconds()):
                await self.repair()

    async def repair(self) -> None:
        """Try once to append all that waits."""
        waiting = tuple(self._repairs.values())
        await asyncio.gather(*(self._append(repair) for repair in waiting))
        for run in tuple(self._abandoned.values()):
            await self._void_abandoned(run)

    def _start(self) -> None:
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._repair_all())

    async def _repair_all(self) -> None:
        while self.pending:
            await self.repair()
            if self.pending:
                await self._clock.sleep(REPAIR_INTERVAL)

    async def _append(self, repair: _Repair) -> None:
        try:
            await repair.run.stream.append(repair.entry)
        except LogError:
            return
        self._repairs.pop(repair.run.number, None)

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
            self.append_soon(run, VoidedEntry(run.key, run.number))
        elif run.may_append_until <= self._clock.monotonic():
            self._abandoned.pop(run.number)
