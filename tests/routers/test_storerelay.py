import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta
from functools import partial

import pytest

from bergamotshed.clock import SystemClock
from bergamotshed.routers.mesh import PeerMesh
from bergamotshed.routers.messages import GatewayHeartbeat, Message
from bergamotshed.routers.storemessages import ChangesRequest
from bergamotshed.routers.storerelay import MAX_RELAYED_BYTES, StoreRelay
from bergamotshed.routing.store_readers import find_reader
from bergamotshed.routing.view import RouterNode
from bergamotshed.store.types import (
    Changes,
    Entry,
    KeyedStore,
    Listing,
    Position,
    StoreHistoryGone,
    StoreUnavailable,
    Topic,
)
from tests.waiting import until

NAMES = ('r1', 'r2', 'r3', 'r4')
TOPIC = Topic.UPSTREAMS
READER = next(
    reader
    for name in NAMES
    if (reader := find_reader(TOPIC.value, name, NAMES))
)
OTHERS = tuple(name for name in NAMES if name != READER)
WAIT = timedelta(milliseconds=400)
NO_WAIT = timedelta(0)
#: Wait of reads whose changes may be seen late.
WAIT_FOR_MEMBERS = timedelta(seconds=10)


class SharedStore(KeyedStore):
    """A log that holds reads back until there is a change.

    :ivar calls: reads of each router
    :ivar refused: routers that the store turns away
    """

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self.refused: set[str] = set()
        self.era = 1
        self._records: list[Entry] = []
        self._changed = asyncio.Event()

    async def newest(self, topic: Topic) -> Listing:
        return Listing(
            tuple(self._records), Position(self.era, len(self._records))
        )

    async def read(
        self, topic: Topic, start: Position, wait: timedelta
    ) -> Changes:
        raise AssertionError

    async def put(self, topic: Topic, key: str, value: bytes) -> None:
        self._records.append(Entry(key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    def return_from_copy(self, count: int) -> None:
        """Come back with the first records only, as a new era."""
        del self._records[count:]
        self.era += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def read_as(
        self, router: str, start: Position, wait: timedelta
    ) -> Changes:
        self.calls[router] += 1
        self._check(router)
        if start.offset >= len(self._records) and wait:
            await asyncio.wait(
                (asyncio.ensure_future(self._changed.wait()),),
                timeout=wait.total_seconds(),
            )
            self._check(router)
        if start.era != self.era:
            raise StoreHistoryGone('another era')
        return Changes(
            tuple(self._records[start.offset :]),
            Position(self.era, len(self._records)),
        )

    def _check(self, router: str) -> None:
        if router in self.refused:
            raise StoreUnavailable('turned away')


class RouterStore(KeyedStore):
    """The shared store as one router calls it."""

    def __init__(self, shared: SharedStore, router: str) -> None:
        self._shared = shared
        self._router = router

    async def newest(self, topic: Topic) -> Listing:
        return await self._shared.newest(topic)

    async def read(
        self, topic: Topic, start: Position, wait: timedelta
    ) -> Changes:
        return await self._shared.read_as(self._router, start, wait)

    async def put(self, topic: Topic, key: str, value: bytes) -> None:
        await self._shared.put(topic, key, value)


class Router:
    """Follows the topic; ``keys`` are those that it has received."""

    def __init__(self, name: str, shared: SharedStore) -> None:
        self.name = name
        self.live: tuple[str, ...] = NAMES
        self.keys: list[str] = []
        self.confirmed_at = 0.0
        self.clock = SystemClock()
        self.mesh = PeerMesh(
            name, '127.0.0.1:0', SystemClock(), lambda *_: None
        )
        self.relay = StoreRelay(
            RouterStore(shared, name),
            name,
            self.mesh,
            lambda: self.live,
            self.clock,
            {},
        )
        self._next = Position(1, 0)

    @property
    def node(self) -> RouterNode:
        return RouterNode(self.name, '', self.mesh.address, 'a')

    async def run(self) -> None:
        while True:
            try:
                await self.step(WAIT)
            except StoreUnavailable:
                await asyncio.sleep(0.05)
            except StoreHistoryGone:
                listing = await self.relay.newest(TOPIC)
                self.keys = [entry.key for entry in listing.entries]
                self._next = listing.end

    async def step(self, wait: timedelta) -> Changes:
        called_at = self.clock.boottime()
        changes = await self.relay.read(TOPIC, self._next, wait)
        self.keys.extend(entry.key for entry in changes.entries)
        self._next = changes.end
        confirmed_at = called_at - changes.age.total_seconds()
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        return changes


class Fleet:
    """Four routers of one failure domain before one store."""

    def __init__(self) -> None:
        self.store = SharedStore()
        self.routers = {name: Router(name, self.store) for name in NAMES}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def start(self) -> None:
        for router in self.routers.values():
            await router.mesh.start()
        for router in self.routers.values():
            router.mesh.set_peers(
                [
                    peer.node
                    for peer in self.routers.values()
                    if peer is not router
                ]
            )
            for peer in NAMES:
                if peer != router.name:
                    await until(
                        partial(
                            router.mesh.send, peer, GatewayHeartbeat(True, 1)
                        )
                    )

    def follow(self, *names: str) -> None:
        for name in names:
            self._tasks[name] = asyncio.create_task(self.routers[name].run())

    async def stop(self, name: str) -> None:
        self._tasks.pop(name).cancel()
        await self.routers[name].mesh.close()

    async def close(self) -> None:
        for name in list(self._tasks):
            self._tasks.pop(name).cancel()
        for router in self.routers.values():
            await router.mesh.close()

    async def publish(self, key: str, value: bytes = b'v') -> None:
        await self.store.put(TOPIC, key, value)

    async def wait_known(self, key: str, *names: str) -> None:
        await until(
            lambda: all(key in self.routers[name].keys for name in names)
        )


@asynccontextmanager
async def fleet() -> AsyncIterator[Fleet]:
    created = Fleet()
    try:
        await created.start()
        yield created
    finally:
        await created.close()


async def test_only_the_reader_calls_the_store() -> None:
    async with fleet() as created:
        created.follow(READER)
        await until(lambda: created.store.calls[READER])
        await until(lambda: created.routers[READER].confirmed_at)
        created.follow(*OTHERS)
        for number in range(5):
            await created.publish(f'k{number}')
            await created.wait_known(f'k{number}', *NAMES)
        assert {name: created.store.calls[name] for name in OTHERS} == (
            dict.fromkeys(OTHERS, 0)
        )
        for router in created.routers.values():
            assert router.keys == [f'k{number}' for number in range(5)]


async def test_a_relayed_confirmation_is_as_old_as_the_reader_s_call() -> None:
    async with fleet() as created:
        reader = created.routers[READER]
        await reader.step(NO_WAIT)
        await asyncio.sleep(0.2)
        other = created.routers[OTHERS[0]]
        changes = await other.step(WAIT)
        assert changes.is_relayed
        assert other.confirmed_at <= reader.confirmed_at


async def test_a_confirmation_that_is_too_old_is_not_relayed() -> None:
    async with fleet() as created:
        await created.routers[READER].step(NO_WAIT)
        await asyncio.sleep(0.3)
        changes = await created.routers[OTHERS[0]].step(
            timedelta(milliseconds=100)
        )
        assert not changes.is_relayed


async def test_others_read_the_store_if_it_turns_the_reader_away() -> None:
    async with fleet() as created:
        created.follow(READER, *OTHERS)
        await created.publish('before')
        await created.wait_known('before', *NAMES)
        created.store.refused.add(READER)
        await created.publish('during')
        await created.wait_known('during', *OTHERS)
        assert 'during' not in created.routers[READER].keys
        created.store.refused.clear()
        await created.publish('after')
        await created.wait_known('after', *NAMES)


async def test_others_read_the_store_if_the_reader_is_gone() -> None:
    async with fleet() as created:
        created.follow(READER, *OTHERS)
        await created.publish('before')
        await created.wait_known('before', *NAMES)
        await created.stop(READER)
        await created.publish('during')
        await created.wait_known('during', *OTHERS)


async def test_a_reader_that_freezes_delays_a_change_by_the_hold() -> None:
    async def hold_forever(_peer: str, _request: ChangesRequest) -> Message:
        await asyncio.Event().wait()
        raise AssertionError

    async with fleet() as created:
        reader, other = created.routers[READER], created.routers[OTHERS[0]]
        reader.mesh.on_question(ChangesRequest, hold_forever)
        await created.publish('key')
        started_at = other.clock.monotonic()
        await other.step(WAIT_FOR_MEMBERS)
        waited_s = other.clock.monotonic() - started_at
        assert other.keys == ['key']
        assert waited_s < WAIT_FOR_MEMBERS.total_seconds() / 2


async def test_a_router_that_has_not_read_yet_knows_nothing() -> None:
    async with fleet() as created:
        changes = await created.routers[OTHERS[0]].step(WAIT)
        assert not changes.is_relayed
        assert not created.routers[OTHERS[0]].relay._silent_until


async def test_a_router_that_the_store_turns_away_gets_relayed_changes() -> (
    None
):
    async with fleet() as created:
        created.store.refused.add(OTHERS[0])
        created.follow(READER, OTHERS[0])
        await created.publish('key')
        await created.wait_known('key', OTHERS[0])


async def test_large_values_are_read_from_the_store() -> None:
    async with fleet() as created:
        await created.publish('large', bytes(MAX_RELAYED_BYTES + 1))
        await created.routers[READER].step(WAIT)
        other = created.routers[OTHERS[0]]
        changes = await other.step(WAIT)
        assert other.keys == ['large']
        assert not changes.is_relayed


@pytest.mark.parametrize('is_ahead', [True, False])
async def test_a_router_at_another_offset_reads_the_store(
    is_ahead: bool,
) -> None:
    async with fleet() as created:
        first, second = created.routers[READER], created.routers[OTHERS[0]]
        await created.publish('k0')
        if is_ahead:
            await second.step(NO_WAIT)
            created.store.refused.add(READER)
        else:
            await first.step(NO_WAIT)
            await created.publish('k1')
            await first.step(NO_WAIT)
            created.store.refused.add(READER)
            with pytest.raises(StoreUnavailable):
                await first.step(NO_WAIT)
        await created.publish('k2')
        changes = await second.step(WAIT)
        assert second.keys[-1] == 'k2'
        assert not changes.is_relayed


async def test_reads_without_a_wait_go_to_the_store() -> None:
    async with fleet() as created:
        await created.routers[READER].step(NO_WAIT)
        changes = await created.routers[OTHERS[0]].step(NO_WAIT)
        assert not changes.is_relayed
        assert created.store.calls[OTHERS[0]] == 1


async def test_routers_with_a_reader_follow_a_store_that_returns() -> None:
    async with fleet() as created:
        created.follow(*NAMES)
        for key in ('kept', 'lost', 'lost too'):
            await created.store.put(TOPIC, key, b'1')
        everyone = created.routers.values()
        await until(lambda: all(len(router.keys) == 3 for router in everyone))
        created.store.return_from_copy(1)
        # New records get the offsets of the lost ones.
        for key in ('new', 'new too', 'last'):
            await created.store.put(TOPIC, key, b'1')
        expected = ['kept', 'new', 'new too', 'last']
        await until(lambda: all(router.keys == expected for router in everyone))
