"""Routers that follow a store which comes back from older copies."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta
from typing import Any, cast

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule
from msgspec.structs import replace

from bergamotshed.clock import ManualClock
from bergamotshed.routers.messages import Message
from bergamotshed.routers.storerelay import StoreRelay
from bergamotshed.routes.current_table import CurrentRoutingTable
from bergamotshed.store.follower import FollowerOptions, TopicFollower
from bergamotshed.store.health import StoreHealth
from bergamotshed.store.types import (
    Changes,
    Entry,
    KeyedStore,
    Listing,
    Position,
    StoreHistoryGone,
    StoreUnavailable,
    Topic,
    TopicConsumer,
)
from tests.routes.test_current_table import DigitsDecoder

TOPIC = Topic.CONFIGURATION
NAMES = ('a', 'b', 'c')
KEYS = ('configuration', 'configuration', 'other', 'third')
WAIT = timedelta(seconds=1)
#: Iterations of the event loop after which all routers must be up to date.
CALM_ITERATIONS = 3000


class CopiedStore(KeyedStore):
    """A log of which earlier states come back."""

    def __init__(self) -> None:
        self.records: list[Entry] = []
        self.first = 0
        self.era: int | None = 1
        self.is_away = False

    async def newest(self, topic: Topic) -> Listing:
        await asyncio.sleep(0)
        self._check_reachable()
        newest = {entry.key: entry for entry in self.records}
        listed = tuple(entry for entry in newest.values() if entry.value)
        return Listing(listed, Position(self.era, len(self.records)))

    async def read(
        self, topic: Topic, start: Position, wait: timedelta
    ) -> Changes:
        for _ in range(5 if wait else 1):
            await asyncio.sleep(0)
            if len(self.records) > start.offset:
                break
        self._check_reachable()
        is_held = self.first <= start.offset <= len(self.records)
        if start.era != self.era or not is_held:
            raise StoreHistoryGone('not held')
        return Changes(
            tuple(self.records[start.offset :]),
            Position(self.era, len(self.records)),
        )

    async def put(self, topic: Topic, key: str, value: bytes) -> None:
        raise AssertionError

    def _check_reachable(self) -> None:
        if self.is_away:
            raise StoreUnavailable('away')


class DirectMesh:
    """Passes questions to the other routers' handlers at once."""

    def __init__(self) -> None:
        self.handlers: dict[str, Callable[[str, Any], Awaitable[Message]]] = {}

    def of(self, name: str) -> Any:
        """Return the mesh as one router uses it."""
        return RouterMesh(self, name)


class RouterMesh:
    def __init__(self, mesh: DirectMesh, name: str) -> None:
        self._mesh = mesh
        self._name = name

    def on_question(
        self, _kind: type, handler: Callable[[str, Any], Awaitable[Message]]
    ) -> None:
        self._mesh.handlers[self._name] = handler

    async def ask(self, peer: str, message: Any, *_timeouts: Any) -> Any:
        """Ask without a hold, which would last in real time."""
        await asyncio.sleep(0)
        handler = self._mesh.handlers[peer]
        return await handler(self._name, replace(message, wait=0))


class Newest(TopicConsumer):
    """Holds the newest value of each key."""

    def __init__(self, table: CurrentRoutingTable) -> None:
        self.entries: dict[str, bytes] = {}
        self.table = table
        self.versions: list[int] = []

    def replace_entries(self, entries: Sequence[Entry], sent_at: float) -> None:
        """Replace all values."""
        self.entries = {entry.key: entry.value for entry in entries}
        self.table.replace_entries(entries, sent_at)
        self.versions.append(self.table.version)

    def apply_changes(self, entries: Sequence[Entry], sent_at: float) -> None:
        """Apply changes."""
        for entry in entries:
            self.entries.pop(entry.key, None)
            if entry.value:
                self.entries[entry.key] = entry.value
        self.table.apply_changes(entries, sent_at)
        self.versions.append(self.table.version)


class StoreReturns(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self._loop = asyncio.new_event_loop()
        self._store = CopiedStore()
        self._version = 0
        mesh = DirectMesh()
        clock = ManualClock()
        self._consumers: list[Newest] = []
        self._tasks: list[asyncio.Task[None]] = []
        for name in NAMES:
            consumer = Newest(CurrentRoutingTable(DigitsDecoder(), clock))
            relay = StoreRelay(
                self._store,
                name,
                cast(Any, mesh.of(name)),
                lambda: NAMES,
                clock,
                {},
            )
            follower = TopicFollower(
                relay,
                TOPIC,
                consumer,
                FollowerOptions(WAIT),
                StoreHealth(clock),
                clock,
            )
            self._consumers.append(consumer)
            self._tasks.append(self._loop.create_task(follower.run()))

    @rule(
        keys=st.lists(st.sampled_from(KEYS), min_size=1, max_size=4),
        is_noticed=st.booleans(),
    )
    def write(self, keys: list[str], is_noticed: bool) -> None:
        for key in keys:
            self._version += 1
            value = b'%d' % self._version
            self._store.records.append(Entry(key, value))
        if is_noticed:
            self.let_routers_run(300)

    @rule(key=st.sampled_from(KEYS))
    def remove(self, key: str) -> None:
        self._store.records.append(Entry(key, b''))

    @rule(
        lost=st.integers(1, 6),
        rewritten=st.integers(0, 6),
        is_noticed=st.booleans(),
    )
    def return_from_a_copy(
        self, lost: int, rewritten: int, is_noticed: bool
    ) -> None:
        length = max(0, len(self._store.records) - lost)
        del self._store.records[length:]
        self._store.first = min(self._store.first, length)
        self._store.era = (self._store.era or 0) + 1
        # Gives the lost offsets out again before any router has noticed.
        self.write(['other'] * rewritten, is_noticed)

    @rule()
    def drop_history(self) -> None:
        self._store.first = len(self._store.records)

    @rule(is_away=st.booleans())
    def reach(self, is_away: bool) -> None:
        self._store.is_away = is_away

    @rule(count=st.sampled_from((3, 30, 300)))
    def let_routers_run(self, count: int) -> None:
        self._loop.run_until_complete(self._iterate(count))

    @precondition(lambda self: not self._store.is_away)
    @rule()
    def calm_down(self) -> None:
        newest = {entry.key: entry.value for entry in self._store.records}
        expected = {key: value for key, value in newest.items() if value}
        self._loop.run_until_complete(self._settle(expected))
        assert [held.entries for held in self._consumers] == [expected] * 3

    def teardown(self) -> None:
        self._store.is_away = False
        self.calm_down()
        for task in self._tasks:
            task.cancel()
        self._loop.run_until_complete(
            asyncio.gather(*self._tasks, return_exceptions=True)
        )
        self._loop.close()
        for consumer in self._consumers:
            assert consumer.versions == sorted(consumer.versions)

    async def _settle(self, expected: dict[str, bytes]) -> None:
        for _ in range(CALM_ITERATIONS):
            if all(held.entries == expected for held in self._consumers):
                return
            await asyncio.sleep(0)

    async def _iterate(self, count: int) -> None:
        for _ in range(count):
            await asyncio.sleep(0)


TestStoreReturns = StoreReturns.TestCase
TestStoreReturns.settings = settings(
    max_examples=100, stateful_step_count=30, deadline=None, derandomize=True
)
