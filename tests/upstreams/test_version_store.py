"""Versions of upstreams that are kept over a restart of all routers."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import UTC, datetime, timedelta

import msgspec
import pytest

from bergamotshed.clock import ManualClock
from bergamotshed.routing.stream_origins import STREAM_LIFETIME
from bergamotshed.store.health import StoreHealth
from bergamotshed.upstreams.types import Instance
from bergamotshed.upstreams.version_history import VersionHistory
from bergamotshed.upstreams.version_store import (
    PERIOD_INTERVAL,
    PERIOD_KEY,
    StoredPeriod,
    VersionStore,
)
from tests.store.memory import MemoryStore

LIFETIME_S = STREAM_LIFETIME.total_seconds()
# Values that another build or writer may have left.
MALFORMED = {
    'no MessagePack': b'\xc1',
    'another type': b'\x01',
    'nested': b'\x93\xa1s\xa1v' + b'\x91' * 5000,
    'a time before all dates': b'\x93\xa1s\xa1v\xd3\x80' + bytes(7),
}


class SteppedClock(ManualClock):
    """A clock whose sleepers wait until it has been advanced."""

    def __init__(self) -> None:
        super().__init__(datetime(2026, 1, 1, tzinfo=UTC))
        self._advanced = asyncio.Event()

    def advance(self, duration: timedelta) -> None:
        super().advance(duration)
        self._advanced.set()
        self._advanced = asyncio.Event()

    async def sleep(self, duration: timedelta) -> None:
        ends_at = self.monotonic() + duration.total_seconds()
        while self.monotonic() < ends_at:
            await self._advanced.wait()


class Router:
    """A router that starts, and the versions that it knows.

    :ivar versions: its history; the list is confirmed when it starts
    """

    def __init__(
        self,
        store: MemoryStore,
        clock: SteppedClock,
        *listed: str,
        is_home: bool = True,
        is_first_start: bool = False,
    ) -> None:
        self.health = StoreHealth(clock)
        self.versions = VersionHistory(clock)
        self._clock = clock
        self.listed = asyncio.Event()
        if listed:
            self.list(*listed)
        self.store = VersionStore(
            store,
            self.versions,
            self.listed.wait,
            lambda _key: is_home,
            self.health,
            clock,
            is_first_start=is_first_start,
        )

    @property
    def recent(self) -> set[str]:
        return self.versions.recent_versions('s', STREAM_LIFETIME)

    @property
    def knows_former(self) -> bool:
        known_s = self._clock.boottime() - self.versions.known_since
        return known_s > LIFETIME_S

    def list(self, *versions: str) -> None:
        self.versions.update(
            Instance(f'i-{version}', 's', '', 'a', 1, version=version)
            for version in versions
        )
        self.versions.confirm(self._clock.boottime())
        self.listed.set()


@asynccontextmanager
async def running(router: Router) -> AsyncIterator[Router]:
    task = asyncio.create_task(router.store.run())
    await settle()
    try:
        yield router
    finally:
        task.cancel()


async def settle() -> None:
    for _ in range(20):
        await asyncio.sleep(0)


async def pass_time(clock: SteppedClock, duration: timedelta) -> None:
    """Advance in steps, so that periodic work is done meanwhile."""
    step = timedelta(milliseconds=500)
    for _ in range(duration // step):
        clock.advance(step)
        await settle()


async def test_a_version_that_left_before_a_restart_is_remembered() -> None:
    store, clock = MemoryStore(), SteppedClock()
    first = Router(store, clock, 'v1', 'v2', is_first_start=True)
    async with running(first):
        first.list('v2')
        await pass_time(clock, timedelta(seconds=1))
    async with running(Router(store, clock, 'v2')) as second:
        assert second.recent == {'v1', 'v2'}
        assert second.knows_former
        await pass_time(clock, STREAM_LIFETIME)
        assert second.recent == {'v2'}


async def test_a_version_that_left_while_no_router_ran_is_remembered() -> None:
    store, clock = MemoryStore(), SteppedClock()
    async with running(Router(store, clock, 'v1', is_first_start=True)):
        pass
    clock.advance(STREAM_LIFETIME / 2)
    async with running(Router(store, clock, 'v2')) as second:
        assert second.recent == {'v1', 'v2'}
        assert second.knows_former
        await pass_time(clock, STREAM_LIFETIME * 0.9)
        assert second.recent == {'v1', 'v2'}


async def test_the_only_version_is_known_to_be_the_only_one_at_once() -> None:
    store, clock = MemoryStore(), SteppedClock()
    async with running(Router(store, clock, 'v1', is_first_start=True)):
        await pass_time(clock, STREAM_LIFETIME * 2)
    async with running(Router(store, clock, 'v1')) as second:
        assert second.recent == {'v1'}
        assert second.knows_former


async def test_a_version_is_not_taken_for_gone_before_the_list_is_read() -> (
    None
):
    store, clock = MemoryStore(), SteppedClock()
    async with running(Router(store, clock, 'v1', is_first_start=True)):
        pass
    written = dict(store.values)
    async with running(Router(store, clock)) as second:
        assert not second.knows_former
        second.list('v1')
        await settle()
        assert second.knows_former
        assert store.values == written


async def test_a_time_without_records_is_not_covered() -> None:
    # Routers of an older build do not record versions.
    store, clock = MemoryStore(), SteppedClock()
    async with running(Router(store, clock, 'v1', is_first_start=True)):
        pass
    clock.advance(2 * STREAM_LIFETIME)
    async with running(Router(store, clock, 'v1')) as second:
        assert not second.knows_former
        await pass_time(clock, STREAM_LIFETIME + timedelta(seconds=1))
        assert second.knows_former


async def test_nothing_is_known_before_the_store_was_read() -> None:
    store, clock = MemoryStore(), SteppedClock()
    store.is_down = True
    router = Router(store, clock, 'v1', is_first_start=True)
    async with running(router):
        assert not router.knows_former
        store.is_down = False
        await pass_time(clock, timedelta(seconds=5))
        assert router.knows_former


async def test_a_store_from_an_older_copy_gets_all_records_again() -> None:
    store, clock = MemoryStore(), SteppedClock()
    router = Router(store, clock, 'v1', is_first_start=True)
    async with running(router):
        written = set(store.values)
        router.health.record_era(1)
        store.values.clear()
        router.health.record_era(2)
        await pass_time(clock, timedelta(seconds=1))
        assert set(store.values) == written


async def test_records_are_removed_when_no_stream_can_need_them() -> None:
    store, clock = MemoryStore(), SteppedClock()
    router = Router(store, clock, 'v1', 'v2', is_first_start=True)
    async with running(router):
        router.list('v2')
        await pass_time(clock, STREAM_LIFETIME + timedelta(seconds=2))
    kept = [key for key, value in store.values.items() if value]
    assert len(kept) == 2
    assert PERIOD_KEY in kept


async def test_only_the_home_writes() -> None:
    store, clock = MemoryStore(), SteppedClock()
    async with running(Router(store, clock, 'v1', is_home=False)):
        await pass_time(clock, PERIOD_INTERVAL)
    assert not store.values


@pytest.mark.parametrize('name', MALFORMED)
@pytest.mark.parametrize('key', ['a1', PERIOD_KEY])
async def test_a_malformed_record_is_skipped(name: str, key: str) -> None:
    store, clock = MemoryStore(), SteppedClock()
    store.values[key] = MALFORMED[name]
    async with running(Router(store, clock, 'v1')) as router:
        assert router.recent == {'v1'}
        assert not router.knows_former
        await pass_time(clock, timedelta(seconds=1))
    assert len(store.values) > 1


async def test_a_period_that_ends_in_the_future_is_no_longer_one() -> None:
    store, clock = MemoryStore(), SteppedClock()
    ahead = round(clock.now().timestamp() * 1000) + 10_000
    store.values[PERIOD_KEY] = msgspec.msgpack.encode(
        StoredPeriod(ahead, ahead)
    )
    async with running(Router(store, clock, 'v1')) as router:
        assert not router.knows_former
