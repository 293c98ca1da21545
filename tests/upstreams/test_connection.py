import asyncio
import hashlib
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import uvloop

from bergamotshed.clock import SystemClock
from bergamotshed.upstreams.connection import UpstreamConnection
from bergamotshed.upstreams.pool import ConnectionPool, PoolOptions
from bergamotshed.upstreams.types import (
    UpstreamAnswerBroken,
    UpstreamNotReached,
)
from tests.standins.rawupstream import (
    RawRequest,
    RawUpstream,
    Script,
    reset_connection,
    sealed_answer,
)
from tests.standins.resetting import read_from_resetting_upstream
from tests.waiting import until

REQUEST = b'GET /a/ HTTP/1.1\r\nBergamotshed-Attempt-Id: 1\r\n\r\n'


@pytest.fixture
def event_loop_policy() -> uvloop.EventLoopPolicy:
    # The event loop of production, which hides resets.
    return uvloop.EventLoopPolicy()


@asynccontextmanager
async def connected(
    script: Script,
) -> AsyncIterator[tuple[UpstreamConnection, ConnectionPool]]:
    async with RawUpstream(script).serving() as upstream:
        pool = ConnectionPool(PoolOptions(), SystemClock())
        connection = await pool.acquire(upstream.address, repeatable=True)
        yield connection, pool
        pool.discard(connection)


async def read_all(connection: UpstreamConnection) -> bytes:
    await connection.read_head()
    body = b''
    while piece := await connection.read_part():
        body += piece
    return body


async def sized(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(sealed_answer(request, b'whole'))


async def chunked(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    head = sealed_answer(request, sized=False, body=b'')[:-2]
    writer.write(head + b'Transfer-Encoding: chunked\r\n\r\n')
    for piece in (b'3\r\nwho\r\n', b'2\r\nle\r\n', b'0\r\n\r\n'):
        writer.write(piece)
        await asyncio.sleep(0.01)


async def unsized(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(sealed_answer(request, b'whole', sized=False))
    writer.close()


async def interim(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(
        b'HTTP/1.1 100 Continue\r\n\r\n' + sealed_answer(request, b'whole')
    )


@pytest.mark.parametrize('script', [sized, chunked, unsized, interim])
async def test_reads_a_whole_answer(script: Script) -> None:
    async with connected(script) as (connection, _):
        assert connection.send(REQUEST)
        assert await read_all(connection) == b'whole'


async def measured(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    digest = hashlib.sha256(request.body).hexdigest().encode()
    writer.write(sealed_answer(request, digest))


@pytest.mark.parametrize('size', [0, 1, 100_000, 4_194_304])
async def test_sends_a_body_unchanged(size: int) -> None:
    head = REQUEST[:-2] + b'Content-Length: %d\r\n\r\n' % size
    body = random.Random(size).randbytes(size)
    async with connected(measured) as (connection, _):
        assert connection.send(head, body)
        assert (await read_all(connection)).decode() == (
            hashlib.sha256(body).hexdigest()
        )


async def unsized_reset(
    request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    writer.write(sealed_answer(request, b'who', sized=False))
    await writer.drain()
    reset_connection(writer)


async def sized_short(
    request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    writer.write(sealed_answer(request, b'whole')[:-2])
    writer.close()


async def chunked_short(
    request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    head = sealed_answer(request, sized=False, body=b'')[:-2]
    writer.write(head + b'Transfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n')
    writer.close()


async def nothing(_request: RawRequest, writer: asyncio.StreamWriter) -> None:
    writer.close()


async def no_answer(_request: RawRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(b'\x00\x01 this is no answer\r\n\r\n')


@pytest.mark.parametrize(
    'script', [unsized_reset, sized_short, chunked_short, nothing, no_answer]
)
async def test_an_answer_that_breaks_off_never_looks_complete(
    script: Script,
) -> None:
    async with connected(script) as (connection, _):
        assert connection.send(REQUEST)
        with pytest.raises(UpstreamAnswerBroken):
            await read_all(connection)
        assert not connection.is_reusable


async def test_a_reset_that_arrives_with_the_data_is_not_an_end() -> None:
    # With an answer of unknown length, data and reset were read together and
    # the reset counted as the end of the answer.
    request = RawRequest('', {'bergamotshed-attempt-id': '1'}, b'', 0)
    pool = ConnectionPool(PoolOptions(), SystemClock())

    async def exchange(address: str) -> bytes:
        connection = await pool.acquire(address, repeatable=True)
        connection.send(REQUEST)
        return await read_all(connection)

    with pytest.raises(UpstreamAnswerBroken):
        await read_from_resetting_upstream(
            sealed_answer(request, b'who', sized=False), exchange
        )


async def extra_at_once(
    request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    writer.write(
        sealed_answer(request, b'whole') + sealed_answer(request, b'again')
    )


async def extra_late(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(sealed_answer(request, b'whole'))
    await writer.drain()
    await asyncio.sleep(0.05)
    writer.write(sealed_answer(request, b'again'))


@pytest.mark.parametrize('script', [extra_at_once, extra_late])
async def test_bytes_after_an_answer_make_a_connection_unusable(
    script: Script,
) -> None:
    async with connected(script) as (connection, pool):
        connection.send(REQUEST)
        assert await read_all(connection) == b'whole'
        pool.release(connection, None)
        await until(lambda: not connection.is_reusable)
        assert not connection.send(REQUEST)


async def test_the_pool_reuses_and_closes_connections() -> None:
    async with RawUpstream(sized).serving() as upstream:
        pool = ConnectionPool(PoolOptions(), SystemClock())
        first = await pool.acquire(upstream.address, repeatable=False)
        first.send(REQUEST)
        await read_all(first)
        pool.release(first, None)
        assert await pool.acquire(upstream.address, repeatable=False) is first
        pool.release(first, 0)
        second = await pool.acquire(upstream.address, repeatable=False)
        assert second is not first
        assert pool.open_count(upstream.address) == 1
        pool.discard(second)
        assert pool.open_count(upstream.address) == 0


@pytest.mark.parametrize(
    ('keep_alive_s', 'repeatable', 'idle_s', 'is_reused'),
    [
        pytest.param(None, True, 1.5, True, id='within the limit'),
        pytest.param(None, True, 2.5, False, id='idle for too long'),
        pytest.param(2.0, True, 1.5, False, id='half of the announced time'),
        pytest.param(
            None, False, 0.5, True, id='fresh enough for a single run'
        ),
        pytest.param(None, False, 1.5, False, id='too old for a single run'),
    ],
)
async def test_idle_connections_are_replaced_before_the_upstream_closes_them(
    keep_alive_s: float | None, repeatable: bool, idle_s: float, is_reused: bool
) -> None:
    async with RawUpstream(sized).serving() as upstream:
        clock = SteppedClock()
        pool = ConnectionPool(PoolOptions(), clock)
        first = await pool.acquire(upstream.address, repeatable=True)
        first.send(REQUEST)
        await read_all(first)
        pool.release(first, keep_alive_s)
        clock.offset = idle_s
        second = await pool.acquire(upstream.address, repeatable=repeatable)
        assert (second is first) is is_reused
        pool.discard(second)
        pool.close()


async def test_a_failed_connect_is_reported_as_not_reached() -> None:
    pool = ConnectionPool(PoolOptions(), SystemClock())
    with pytest.raises(UpstreamNotReached):
        await pool.acquire('127.0.0.1:1', repeatable=False)


class SteppedClock(SystemClock):
    offset = 0.0

    def monotonic(self) -> float:
        return super().monotonic() + self.offset
