import asyncio
from datetime import timedelta

from bergamotshed.clock import SystemClock
from bergamotshed.roster.announcer import Announcer
from bergamotshed.roster.types import RosterEntry, decode_entry
from bergamotshed.store.types import (
    Changes,
    KeyedStore,
    Listing,
    Position,
    StoreUnavailable,
    Topic,
)
from tests.waiting import until

ENTRY = RosterEntry('own', '10.0.0.1:1', '10.0.0.1:2', 'a', started=1)


class WriteOnlyStore(KeyedStore):
    def __init__(self, failures: int = 0) -> None:
        self.failures = failures
        self.written: list[RosterEntry | None] = []

    async def newest(self, topic: Topic) -> Listing:
        raise AssertionError

    async def read(
        self, topic: Topic, start: Position, wait: timedelta
    ) -> Changes:
        raise AssertionError

    async def put(self, topic: Topic, key: str, value: bytes) -> None:
        if self.failures:
            self.failures -= 1
            raise StoreUnavailable('away')
        self.written.append(decode_entry(value))


async def test_an_entry_that_the_store_lost_is_written_again() -> None:
    store = WriteOnlyStore(failures=1)
    announcer = Announcer(store, ENTRY, SystemClock(), timedelta)
    running = asyncio.create_task(announcer.run())
    await until(lambda: store.written == [ENTRY])
    announcer.check_listed(ENTRY)
    await asyncio.sleep(0)
    assert len(store.written) == 1
    announcer.check_listed(None)
    await until(lambda: store.written == [ENTRY, ENTRY])
    announcer.leave()
    await until(lambda: len(store.written) == 3)
    announcer.check_listed(ENTRY)
    await until(lambda: len(store.written) == 4)
    last = store.written[-1]
    assert last is not None
    assert last.leaving
    running.cancel()
