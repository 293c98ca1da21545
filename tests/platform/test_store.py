import asyncio
import struct
from collections.abc import AsyncIterator
from datetime import timedelta

import pytest
from aiohttp import ClientSession, web
from aiohttp.test_utils import RawTestServer
from aiohttp.web_request import BaseRequest

from bergamotshed.platform.store import PlatformStore
from bergamotshed.store.types import (
    Entry,
    StoreHistoryGone,
    StoreUnavailable,
    Topic,
)
from tests.standins.keyedstore import KeyedStoreStandIn
from tests.store.positions import at
from tests.waiting import until

NO_WAIT = timedelta(0)
UPSTREAMS = 'keyed.servers'


@pytest.fixture
async def standin() -> AsyncIterator[KeyedStoreStandIn]:
    async with KeyedStoreStandIn().serving() as serving:
        yield serving


@pytest.fixture
async def store(standin: KeyedStoreStandIn) -> AsyncIterator[PlatformStore]:
    async with ClientSession() as session:
        yield PlatformStore(standin.address, session)


async def test_a_listing_of_many_pages_ends_at_the_first_pages_offset(
    standin: KeyedStoreStandIn, store: PlatformStore
) -> None:
    for number in range(10):
        standin.put(UPSTREAMS, f'k{number}', b'old')
        standin.put(UPSTREAMS, f'k{number}', b'%d' % number)
    listing = await store.newest(Topic.UPSTREAMS)
    assert [entry.key for entry in listing.entries] == [
        f'k{number}' for number in range(10)
    ]
    assert listing.entries[3].value == b'3'
    assert listing.end == at(20)


async def test_reads_changes_and_removals(
    standin: KeyedStoreStandIn, store: PlatformStore
) -> None:
    standin.put(UPSTREAMS, 'a', b'\x00\x01')
    standin.put(UPSTREAMS, 'a', b'')
    changes = await store.read(Topic.UPSTREAMS, at(0), NO_WAIT)
    assert changes.entries == (Entry('a', b'\x00\x01'), Entry('a', b''))
    assert changes.end == at(2)
    assert (await store.read(Topic.UPSTREAMS, at(2), NO_WAIT)).entries == ()


async def test_a_blocking_read_returns_at_a_change(
    standin: KeyedStoreStandIn, store: PlatformStore
) -> None:
    reading = asyncio.create_task(
        store.read(Topic.ROUTERS, at(0), timedelta(seconds=20))
    )
    await asyncio.sleep(0.05)
    await store.put(Topic.ROUTERS, 'r', b'entry')
    changes = await asyncio.wait_for(reading, 5)
    assert changes.entries == (Entry('r', b'entry'),)


async def test_a_read_of_records_that_are_no_longer_retained(
    standin: KeyedStoreStandIn, store: PlatformStore
) -> None:
    standin.put(UPSTREAMS, 'a', b'1')
    standin.drop_history(UPSTREAMS)
    with pytest.raises(StoreHistoryGone):
        await store.read(Topic.UPSTREAMS, at(0), NO_WAIT)


@pytest.mark.parametrize('status', [429, 500, 503, 507])
async def test_error_statuses_mean_unavailable(
    standin: KeyedStoreStandIn, store: PlatformStore, status: int
) -> None:
    standin.error_status = status
    with pytest.raises(StoreUnavailable):
        await store.newest(Topic.UPSTREAMS)
    with pytest.raises(StoreUnavailable):
        await store.put(Topic.ROUTERS, 'r', b'1')


async def test_a_store_that_does_not_answer(
    standin: KeyedStoreStandIn, store: PlatformStore
) -> None:
    standin.is_silent = True
    with pytest.raises(StoreUnavailable):
        await store.read(Topic.UPSTREAMS, at(0), NO_WAIT)


async def test_a_store_that_refuses_connections() -> None:
    async with ClientSession() as session:
        with pytest.raises(StoreUnavailable):
            await PlatformStore('127.0.0.1:1', session).newest(Topic.ROUTERS)


async def test_positions_carry_the_era(
    standin: KeyedStoreStandIn, store: PlatformStore
) -> None:
    standin.era = 4
    standin.put(UPSTREAMS, 'a', b'1')
    listing = await store.newest(Topic.UPSTREAMS)
    assert listing.end == at(1, era=4)
    changes = await store.read(Topic.UPSTREAMS, at(0, era=4), NO_WAIT)
    assert changes.end == at(1, era=4)


async def test_no_offset_is_read_on_in_another_era(
    standin: KeyedStoreStandIn, store: PlatformStore
) -> None:
    standin.era = 1
    standin.put(UPSTREAMS, 'lost', b'1')
    position = (await store.newest(Topic.UPSTREAMS)).end
    standin.return_from({})
    with pytest.raises(StoreHistoryGone):
        await store.read(Topic.UPSTREAMS, position, NO_WAIT)
    for key in ('new', 'hidden by the old offset'):
        standin.put(UPSTREAMS, key, b'1')
    with pytest.raises(StoreHistoryGone):
        await store.read(Topic.UPSTREAMS, position, NO_WAIT)


async def test_a_listing_does_not_mix_two_histories(
    standin: KeyedStoreStandIn, store: PlatformStore
) -> None:
    standin.era = 1
    copy = standin.copy()
    for number in range(10):
        standin.put(UPSTREAMS, f'k{number}', b'lost')
    standin.answer_delay_s = 0.05
    listing = asyncio.create_task(store.newest(Topic.UPSTREAMS))
    await until(lambda: len(standin.called_paths) >= 2)
    standin.return_from(copy)
    standin.put(UPSTREAMS, 'k9', b'new')
    with pytest.raises(StoreUnavailable):
        await listing
    entries = (await store.newest(Topic.UPSTREAMS)).entries
    assert entries == (Entry('k9', b'new'),)


@pytest.mark.parametrize('header', ['', 'x', '-1', '1.5', '9' * 5000, '٣'])
async def test_a_malformed_era_is_an_unknown_one(
    standin: KeyedStoreStandIn, store: PlatformStore, header: str
) -> None:
    standin.era = 3
    standin.era_header = header or ' '
    listing = await store.newest(Topic.UPSTREAMS)
    assert listing.end == at(0)


async def test_a_lower_era_is_another_history(
    standin: KeyedStoreStandIn, store: PlatformStore
) -> None:
    standin.era = 3
    position = (await store.newest(Topic.UPSTREAMS)).end
    standin.era = 2
    with pytest.raises(StoreHistoryGone):
        await store.read(Topic.UPSTREAMS, position, NO_WAIT)
    assert (await store.newest(Topic.UPSTREAMS)).end == at(0, era=2)


async def test_a_read_that_stops_short_is_not_complete(
    standin: KeyedStoreStandIn, store: PlatformStore
) -> None:
    for number in range(5):
        standin.put(UPSTREAMS, f'k{number}', bytes(400))
    standin.answer_bytes = 1000
    first = await store.read(Topic.UPSTREAMS, at(0), NO_WAIT)
    assert (first.end, first.is_complete) == (at(2), False)
    last = await store.read(Topic.UPSTREAMS, at(3), NO_WAIT)
    assert (last.end, last.is_complete) == (at(5), True)


def offsets(end: int, first: int = 0) -> bytes:
    return struct.pack('>QQ', end, first)


@pytest.mark.parametrize(
    ('path', 'body', 'error'),
    [
        ('/log-read', b'', StoreUnavailable),
        ('/log-read', offsets(0)[:-1], StoreUnavailable),
        ('/log-read', offsets(1), StoreUnavailable),
        ('/log-read', offsets(1) + b'\0\0\0\x09\x01k', StoreUnavailable),
        ('/log-read', offsets(9, first=8), StoreHistoryGone),
        (
            '/log-newest',
            b'{"entries": [], "has_more": true, "end": 4}',
            StoreUnavailable,
        ),
    ],
)
async def test_a_short_answer_is_not_taken_for_an_empty_one(
    path: str, body: bytes, error: type[Exception]
) -> None:
    async def answer(_request: BaseRequest) -> web.Response:
        return web.Response(body=body)

    async with RawTestServer(answer) as serving, ClientSession() as session:
        store = PlatformStore(f'127.0.0.1:{serving.port}', session)
        with pytest.raises(error):
            if path == '/log-read':
                await store.read(Topic.UPSTREAMS, at(0), NO_WAIT)
            else:
                await store.newest(Topic.UPSTREAMS)
