"""
bergamotshed.upstreams.version_store
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Keeps in the store which versions the upstreams have, or had lately, for routers
that start: streams of a former version may still be resumed.
"""

__all__ = ('VersionStore',)

from collections.abc import Awaitable, Callable
from datetime import UTC, datetime, timedelta

import msgspec
from eliot import log_message

from ..backoff import Backoff
from ..clock import Clock
from ..decoding import DECODE_ERRORS
from ..routing.hashing import stable_hash
from ..routing.stream_origins import STREAM_LIFETIME
from ..store.health import StoreHealth
from ..store.types import Entry, KeyedStore, Listing, StoreError, Topic
from .version_history import Release, VersionHistory

_ENTRY_ERRORS = (ValueError, *DECODE_ERRORS)

MILLISECOND = timedelta(milliseconds=1)
#: Time between two comparisons of the versions with what was written.
CHECK_INTERVAL = timedelta(milliseconds=500)
#: Time after which the period that the records cover is written again.
PERIOD_INTERVAL = STREAM_LIFETIME / 4
#: Longest backoff between attempts to reach the store.
MAX_PAUSE = timedelta(seconds=2)
#: Key of the period; those of releases are hexadecimal numbers.
PERIOD_KEY = 'period'
_UNIX_START = datetime.fromtimestamp(0, UTC)


class StoredRelease(msgspec.Struct, frozen=True, array_like=True):
    """A release that has, or had, upstreams.

    :ivar ended: until when, in milliseconds of Unix time; 0 if it has some
    """

    service: str
    version: str
    ended: int


class StoredPeriod(msgspec.Struct, frozen=True, array_like=True):
    """The time in which all releases were recorded, in ms of Unix time."""

    since: int
    until: int


class VersionStore:
    """Reads the releases of before the start, then writes each change.

    :param wait_until_listed: returns once the upstreams have been listed
    :param is_home: returns whether this router is the one that writes a key
    :param is_first_start: no router has run before, so that no stream is older
    """

    def __init__(
        self,
        store: KeyedStore,
        versions: VersionHistory,
        wait_until_listed: Callable[[], Awaitable[object]],
        is_home: Callable[[int], bool],
        health: StoreHealth,
        clock: Clock,
        *,
        is_first_start: bool,
    ) -> None:
        self._store = store
        self._versions = versions
        self._wait_until_listed = wait_until_listed
        self._is_home = is_home
        self._health = health
        self._clock = clock
        self._since = 0 if is_first_start else self._unix_ms()
        self._known_since = self._boottime_of(self._since)
        self._written: dict[Release, bool] = {}
        self._period_due_at = clock.boottime()
        self._return_count = health.return_count
        self._backoff = Backoff(max_pause=MAX_PAUSE)

    async def run(self) -> None:
        """Read once, then write each change, until cancelled."""
        await self._wait_until_listed()
        while not await self._read():
            await self._clock.sleep(self._backoff.next_pause())
        while True:
            if await self._write_changes():
                self._backoff.reset()
            else:
                await self._clock.sleep(self._backoff.next_pause())
            await self._clock.sleep(CHECK_INTERVAL)

    async def _read(self) -> bool:
        """Add the stored releases; return whether the store answered."""
        try:
            listing = await self._store.newest(Topic.VERSIONS)
        except StoreError as error:
            log_message('versions.not_read', detail=str(error))
            return False
        self._add_all(listing)
        return True

    def _add_all(self, listing: Listing) -> None:
        for entry in listing.entries:
            try:
                self._add(entry)
            except _ENTRY_ERRORS as error:
                log_message(
                    'versions.malformed', key=entry.key, detail=str(error)
                )
        self._versions.extend(self._known_since)
        log_message(
            'versions.read',
            known_since=self._since,
            releases=len(self._written),
        )

    def _add(self, entry: Entry) -> None:
        if entry.key == PERIOD_KEY:
            period = msgspec.msgpack.decode(entry.value, type=StoredPeriod)
            gap = (self._unix_ms() - period.until) * MILLISECOND
            if gap < STREAM_LIFETIME:
                self._known_since = self._boottime_of(period.since)
                self._since = period.since
                self._period_due_at += PERIOD_INTERVAL.total_seconds()
            return
        stored = msgspec.msgpack.decode(entry.value, type=StoredRelease)
        release = Release(stored.service, stored.version)
        self._written[release] = bool(stored.ended)
        if stored.ended:
            ended_at = self._boottime_of(stored.ended)
            self._versions.record_former(release, ended_at)
        elif release not in self._versions.listed:
            # Its last upstream left while no router ran.
            self._versions.record_former(release, self._clock.boottime())

    async def _write_changes(self) -> bool:
        """Write what changed; return whether the store acknowledged it."""
        if self._return_count != self._health.return_count:
            self._return_count = self._health.return_count
            self._written.clear()
            self._period_due_at = self._clock.boottime()
        wanted = self._wanted()
        try:
            for release, is_former in wanted.items():
                if self._written.get(release) is not is_former:
                    await self._write(release, is_former=is_former)
            for release in self._written.keys() - wanted.keys():
                await self._remove(release)
            await self._write_period()
        except StoreError as error:
            log_message('versions.not_written', detail=str(error))
            return False
        return True

    def _wanted(self) -> dict[Release, bool]:
        """Return the releases to store, and whether each is a former one."""
        oldest = self._clock.boottime() - STREAM_LIFETIME.total_seconds()
        former = {
            release: True
            for release, ended_at in self._versions.ended_at.items()
            if ended_at > oldest
        }
        return former | dict.fromkeys(self._versions.listed, False)

    async def _write(self, release: Release, *, is_former: bool) -> None:
        key = _release_key(release)
        if not self._is_home(key):
            return
        ended = 0
        if is_former:
            ended = self._unix_ms_at(self._versions.ended_at[release])
        stored = StoredRelease(release.service, release.version, ended)
        await self._store.put(
            Topic.VERSIONS, f'{key:x}', msgspec.msgpack.encode(stored)
        )
        self._written[release] = is_former
        log_message(
            'versions.written',
            service=release.service,
            version=release.version,
            is_former=is_former,
        )

    async def _remove(self, release: Release) -> None:
        key = _release_key(release)
        if self._is_home(key):
            await self._store.put(Topic.VERSIONS, f'{key:x}', b'')
        del self._written[release]

    async def _write_period(self) -> None:
        now = self._clock.boottime()
        is_due = now >= self._period_due_at
        if not is_due or not self._is_home(stable_hash(PERIOD_KEY)):
            return
        period = StoredPeriod(self._since, self._unix_ms())
        await self._store.put(
            Topic.VERSIONS, PERIOD_KEY, msgspec.msgpack.encode(period)
        )
        self._period_due_at = now + PERIOD_INTERVAL.total_seconds()

    def _unix_ms(self) -> int:
        return (self._clock.now() - _UNIX_START) // MILLISECOND

    def _unix_ms_at(self, boottime: float) -> int:
        age_s = self._clock.boottime() - boottime
        return self._unix_ms() - round(timedelta(seconds=age_s) / MILLISECOND)

    def _boottime_of(self, unix_ms: int) -> float:
        """Return the boot time of a time in the past."""
        age = max(0, self._unix_ms() - unix_ms) * MILLISECOND
        return self._clock.boottime() - age.total_seconds()


def _release_key(release: Release) -> int:
    return stable_hash('release', release.service, release.version)
