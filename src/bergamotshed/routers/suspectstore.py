"""
bergamotshed.routers.suspectstore
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Keeps the crashes of suspect parts in the store, for routers that all restart.
"""

__all__ = ('SuspectStore',)

from collections.abc import Callable, Iterable
from datetime import UTC, datetime, timedelta

import msgspec
from eliot import log_message

from ..backoff import Backoff
from ..clock import Clock
from ..decoding import DECODE_ERRORS
from ..routing.crashes import Crash, CrashReport, PartSighting
from ..routing.part_quarantine import PartQuarantine
from ..store.types import Entry, KeyedStore, StoreError, Topic

_ENTRY_ERRORS = (ValueError, *DECODE_ERRORS)

MILLISECOND = timedelta(milliseconds=1)
#: Time between two comparisons of the suspects with what was written.
CHECK_INTERVAL = timedelta(milliseconds=500)
#: Longest backoff between attempts to reach the store.
MAX_PAUSE = timedelta(seconds=2)


class StoredCrash(msgspec.Struct, frozen=True, array_like=True):
    """A crash at which a part was in flight.

    :ivar noticed: when it was noticed, in milliseconds of Unix time
    :ivar sent: when the last request with the part had been sent, likewise
    """

    upstream: str
    boot: str
    noticed: int
    sent: int


class SuspectStore:
    """Reads the suspects of before the start, then writes new ones.

    :param is_home: returns whether this router is the one that writes a part
    """

    def __init__(
        self,
        store: KeyedStore,
        parts: PartQuarantine,
        is_home: Callable[[int], bool],
        clock: Clock,
    ) -> None:
        self._store = store
        self._parts = parts
        self._is_home = is_home
        self._clock = clock
        self._written: dict[int, int] = {}
        self._backoff = Backoff(max_pause=MAX_PAUSE)

    async def run(self) -> None:
        """Read once, then write each change, until cancelled."""
        while not await self._read():
            await self._clock.sleep(self._backoff.next_pause())
        while True:
            await self._clock.sleep(CHECK_INTERVAL)
            if await self._write_changes():
                self._backoff.reset()
            else:
                await self._clock.sleep(self._backoff.next_pause())

    async def _read(self) -> bool:
        """Add the stored crashes; return whether the store answered."""
        try:
            listing = await self._store.newest(Topic.SUSPECTS)
        except StoreError as error:
            log_message('suspects.not_read', detail=str(error))
            return False
        for entry in listing.entries:
            self._add(entry)
        return True

    def _add(self, entry: Entry) -> None:
        if not entry.value:
            return
        try:
            part = int(entry.key, 16)
            crashes = msgspec.msgpack.decode(
                entry.value, type=tuple[StoredCrash, ...]
            )
            now = self._clock.now()
            reports = [_report_of(part, crash, now) for crash in crashes]
        except _ENTRY_ERRORS as error:
            log_message('suspects.malformed', key=entry.key, detail=str(error))
            return
        self._written[part] = len(reports)
        for report in reports:
            self._parts.record_crash(report)

    async def _write_changes(self) -> bool:
        """Write what changed; return whether the store acknowledged it."""
        counts = {
            part: self._parts.crash_count(part) for part in self._parts.suspects
        }
        changed = dict(counts.items() ^ self._written.items())
        try:
            for part in filter(self._is_home, sorted(changed)):
                await self._write(part, is_suspect=part in counts)
        except StoreError as error:
            log_message('suspects.not_written', detail=str(error))
            return False
        self._written = counts
        return True

    async def _write(self, part: int, *, is_suspect: bool) -> None:
        now = self._clock.now()
        crashes = (
            _stored_crashes(part, self._parts.reports(), now)
            if is_suspect
            else ()
        )
        value = msgspec.msgpack.encode(crashes) if crashes else b''
        await self._store.put(Topic.SUSPECTS, f'{part:x}', value)
        log_message('suspects.written', part=part, crashes=len(crashes))


def _stored_crashes(
    part: int, reports: Iterable[CrashReport], now: datetime
) -> tuple[StoredCrash, ...]:
    return tuple(
        StoredCrash(
            report.crash.upstream,
            report.crash.boot,
            _unix_ms(now - report.age),
            _unix_ms(now - sighting.sent_age),
        )
        for report in reports
        for sighting in report.parts
        if sighting.part == part
    )


def _report_of(part: int, stored: StoredCrash, now: datetime) -> CrashReport:
    return CrashReport(
        Crash(stored.upstream, stored.boot),
        (),
        _age(stored.noticed, now),
        parts=(PartSighting(part, _age(stored.sent, now)),),
    )


def _unix_ms(time: datetime) -> int:
    return (time - datetime.fromtimestamp(0, UTC)) // MILLISECOND


def _age(unix_ms: int, now: datetime) -> timedelta:
    """Return the age of a time, which another clock may have measured."""
    return max(timedelta(0), (_unix_ms(now) - unix_ms) * MILLISECOND)
