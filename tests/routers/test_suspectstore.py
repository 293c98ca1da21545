"""Suspect parts that are kept in the store over a restart of all routers."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta

import pytest

from bergamotshed.clock import SystemClock
from bergamotshed.routers.suspectstore import SuspectStore
from bergamotshed.routing.crashes import Crash, CrashReport, PartSighting
from bergamotshed.routing.part_quarantine import PartQuarantine
from tests.store.memory import MemoryStore
from tests.waiting import until

PART = 0xBAD
SHORTLY = timedelta(milliseconds=1)
# Values of the entry of a part that another build or writer may have left.
MALFORMED = {
    'no MessagePack': b'\xc1',
    'another type': b'\x01',
    'text': b'x',
    'nested': b'\x91\x96\xa1u\xa1b\x00\x00' + b'\x91' * 5000,
    'noticed before all dates': b'\x91\x94\xa1u\xa1b\xd3\x80' + bytes(8),
}


@asynccontextmanager
async def started(
    store: MemoryStore, *, is_home: bool = True
) -> AsyncIterator[PartQuarantine]:
    clock = SystemClock()
    parts = PartQuarantine(clock, lambda part: is_home)
    task = asyncio.create_task(
        SuspectStore(store, parts, lambda part: is_home, clock).run()
    )
    try:
        yield parts
    finally:
        task.cancel()


def crash_three(parts: PartQuarantine) -> None:
    for number in range(3):
        sighting = PartSighting(PART, timedelta(seconds=3 - number) + SHORTLY)
        age = timedelta(seconds=3 - number)
        crash = Crash(f'e{number}', '')
        parts.record_crash(CrashReport(crash, (), age, parts=(sighting,)))


async def test_a_restarted_router_reads_the_suspects() -> None:
    store = MemoryStore()
    async with started(store) as parts:
        crash_three(parts)
        await until(lambda: store.values)
    async with started(store) as parts:
        await until(lambda: parts.blames({PART}))


async def test_a_further_crash_is_written_too() -> None:
    store = MemoryStore()
    async with started(store) as parts:
        crash_three(parts)
        await until(lambda: store.values)
        parts.record_crash(
            CrashReport(
                Crash('e3', ''), (), parts=(PartSighting(PART, SHORTLY),)
            )
        )
        written = dict(store.values)
        await until(lambda: store.values != written)
    async with started(store) as parts:
        await until(lambda: parts.crash_count(PART) == 4)


async def test_a_cleared_part_is_removed() -> None:
    store = MemoryStore()
    async with started(store) as parts:
        crash_three(parts)
        await until(lambda: store.values)
        parts.record_answer({PART}, SystemClock().monotonic())
        await until(lambda: not any(store.values.values()))


async def test_a_part_that_was_read_and_cleared_is_removed() -> None:
    store = MemoryStore()
    async with started(store) as parts:
        crash_three(parts)
        await until(lambda: store.values)
    async with started(store) as parts:
        await until(lambda: parts.suspects)
        parts.record_answer({PART}, SystemClock().monotonic())
        await until(lambda: not any(store.values.values()))


async def test_a_suspect_is_written_once_the_store_is_back() -> None:
    store = MemoryStore()
    async with started(store) as parts:
        store.is_down = True
        crash_three(parts)
        await asyncio.sleep(1)
        store.is_down = False
        await until(lambda: store.values)


async def test_only_the_home_of_a_part_writes_it() -> None:
    store = MemoryStore()
    async with started(store, is_home=False) as parts:
        crash_three(parts)
        await asyncio.sleep(1.2)
        assert not store.values


@pytest.mark.parametrize('name', MALFORMED)
async def test_a_malformed_entry_is_left_out(name: str) -> None:
    store = MemoryStore()
    async with started(store) as parts:
        crash_three(parts)
        await until(lambda: store.values)
    store.values = {
        'no hash': b'',
        'zz': MALFORMED[name],
        '1': MALFORMED[name],
        **store.values,
    }
    async with started(store) as parts:
        await until(lambda: parts.suspects == {PART})
