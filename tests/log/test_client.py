import asyncio
from datetime import timedelta
from typing import Any

import pytest
from aiohttp import ClientSession, web
from aiohttp.test_utils import TestServer, unused_port

from bergamotshed.clock import SystemClock
from bergamotshed.log.client import HttpLog
from bergamotshed.log.types import LogAnswerLost, LogError, LogUnavailable

from ..standins.log import LogStandIn

STREAM = 'configuration'
TIMEOUT = timedelta(milliseconds=200)


@pytest.fixture
async def log_service() -> Any:
    stand_in = LogStandIn(max_records=5)
    async with (
        TestServer(stand_in.create_app()) as server,
        ClientSession() as session,
    ):
        url = str(server.make_url('/'))
        yield stand_in, HttpLog(url, SystemClock(), session, timeout=TIMEOUT)


async def test_records_are_read_in_order(log_service: Any) -> None:
    _, log = log_service
    payloads = [b'', b'\x00\xff', b'third']
    offsets = [await log.append(STREAM, payload) for payload in payloads]
    page = await log.read(STREAM, 1)
    assert offsets == [0, 1, 2]
    assert (page.first, page.next) == (0, 3)
    assert [record.payload for record in page.records] == payloads[1:]
    assert log.time_since_answer < timedelta(seconds=5)


@pytest.mark.parametrize(
    ('fault', 'error', 'written_records'),
    [
        ({'name': 'refuse'}, LogUnavailable, 0),
        ({'name': 'lost'}, LogAnswerLost, 1),
        ({'name': 'late', 'seconds': 30}, LogAnswerLost, 0),
        ({'name': 'freeze'}, LogAnswerLost, 0),
        ({'name': 'cut'}, LogAnswerLost, 0),
    ],
)
async def test_append_faults(
    log_service: Any,
    fault: dict[str, Any],
    error: type[LogError],
    written_records: int,
) -> None:
    stand_in, log = log_service
    await log.append(STREAM, b'before')
    stand_in.faults.set(**fault)
    with pytest.raises(error):
        await log.append(STREAM, b'payload')
    with pytest.raises(LogUnavailable):
        await log.read(STREAM, 0)
    stand_in.faults.clear()
    assert (await log.read(STREAM, 0)).next == 1 + written_records


async def test_refused_connection_appends_nothing() -> None:
    url = f'http://127.0.0.1:{unused_port()}'
    async with ClientSession() as session:
        log = HttpLog(url, SystemClock(), session)
        with pytest.raises(LogUnavailable):
            await log.append(STREAM, b'payload')
        assert log.time_since_answer is None


@pytest.mark.parametrize(
    ('status', 'text', 'error'),
    [
        (400, '', LogUnavailable),
        (429, '', LogUnavailable),
        (200, '{"offset": 1}', LogAnswerLost),
        (302, '', LogAnswerLost),
        (500, '', LogAnswerLost),
        (504, '', LogAnswerLost),
        (201, '{"offset": "x"}', LogAnswerLost),
        (201, '{"offset"', LogAnswerLost),
    ],
)
async def test_unexpected_answers_to_an_append(
    status: int, text: str, error: type[LogError]
) -> None:
    async def answer(_: web.Request) -> web.Response:
        return web.Response(status=status, text=text)

    app = web.Application()
    app.add_routes([web.post('/{path:.*}', answer)])
    async with TestServer(app) as server, ClientSession() as session:
        url = str(server.make_url('/'))
        with pytest.raises(error):
            await HttpLog(url, SystemClock(), session).append(STREAM, b'')


async def test_first_offset_shows_that_records_were_removed(
    log_service: Any,
) -> None:
    _, log = log_service
    for number in range(8):
        await log.append(STREAM, str(number).encode())
    page = await log.read(STREAM, 0, limit=2)
    assert (page.first, page.next) == (3, 8)
    assert [record.offset for record in page.records] == [3, 4]


async def test_long_poll_ends_with_an_append(log_service: Any) -> None:
    _, log = log_service
    read = asyncio.create_task(log.read(STREAM, 0, wait=timedelta(seconds=30)))
    await asyncio.sleep(0)
    await log.append(STREAM, b'new')
    page = await asyncio.wait_for(read, 5)
    assert page.records[0].payload == b'new'


async def test_traffic_is_counted() -> None:
    exchanges: list[tuple[str, int, int]] = []
    async with (
        TestServer(LogStandIn().create_app()) as server,
        ClientSession() as session,
    ):
        log = HttpLog(
            str(server.make_url('/')),
            SystemClock(),
            session,
            lambda *exchange: exchanges.append(exchange),
        )
        await log.append(STREAM, b'x' * 1000)
    [(peer, sent, received)] = exchanges
    assert peer == 'log'
    assert 1000 < sent < 2000
    assert 0 < received < 1000
