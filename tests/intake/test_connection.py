"""The bounds of one connection, seen from its client."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from datetime import timedelta

import pytest
from aiohttp import web
from aiohttp.web_request import BaseRequest

from bergamotshed.clock import SystemClock
from bergamotshed.intake.bodies import BodyFlaw, read_request_body
from bergamotshed.intake.connection import guard
from bergamotshed.intake.intake import (
    CONNECTION_COST_BYTES,
    STANDSTILL_S,
    Intake,
)
from bergamotshed.intake.limits import IntakeLimits
from tests.waiting import until

MEGABYTE = 1_048_576
MAX_BODY = 4 * MEGABYTE
MEMORY = 6 * MEGABYTE
BODY_TIMEOUT = timedelta(seconds=30)
STATUSES = {
    BodyFlaw.TOO_LARGE: 413,
    BodyFlaw.TOO_SLOW: 408,
    BodyFlaw.NO_MEMORY: 503,
    BodyFlaw.MALFORMED: 400,
}
POST = b'POST /a HTTP/1.1\r\nHost: h.example\r\n'
CHUNKED = POST + b'Transfer-Encoding: chunked\r\n\r\n'

Handler = Callable[[BaseRequest], Awaitable[web.Response]]


async def count_body(request: BaseRequest) -> web.Response:
    body = await read_request_body(request, MAX_BODY, BODY_TIMEOUT)
    if isinstance(body, BodyFlaw):
        return web.Response(status=STATUSES[body])
    return web.Response(text=str(len(body)))


async def hold(request: BaseRequest) -> web.Response:
    response = await count_body(request)
    if response.status == 200:
        await asyncio.sleep(30)
    return response


class Site:
    """A server on loopback and its account."""

    def __init__(self, port: int, intake: Intake) -> None:
        self.port = port
        self.intake = intake
        # A writer that is collected closes its connection.
        self._writers: list[asyncio.StreamWriter] = []

    async def send(self, *pieces: bytes) -> asyncio.StreamReader:
        """Send pieces on a connection of their own, without waiting."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self._writers.append(writer)
        for piece in pieces:
            writer.write(piece)
        return reader

    def leave(self) -> None:
        """Close all connections."""
        for writer in self._writers:
            writer.transport.abort()

    async def status(self, *pieces: bytes) -> int:
        """Return the status of the answer; 0 if there is none."""
        return await read_status(await self.send(*pieces))


async def read_status(reader: asyncio.StreamReader) -> int:
    try:
        async with asyncio.timeout(20):
            line = await reader.readline()
    except ConnectionError:
        return 0
    return int(line.split()[1]) if line else 0


@asynccontextmanager
async def serving(
    handler: Handler = count_body, connections: int = 100
) -> AsyncIterator[Site]:
    intake = Intake(IntakeLimits(MEMORY, connections), SystemClock())
    server = web.Server(handler, handler_cancellation=True)
    listener = await asyncio.get_running_loop().create_server(
        guard(server, intake), '127.0.0.1', 0
    )
    try:
        yield Site(listener.sockets[0].getsockname()[1], intake)
    finally:
        listener.close()
        await server.shutdown(0.1)


def chunks(size: int, count: int) -> bytes:
    return b'%x\r\n%s\r\n' % (size, b'z' * size) * count


# name: pieces of a request within the limits
WITHIN: dict[str, tuple[bytes, ...]] = {
    'longest body with a length': (
        POST + b'Content-Length: %d\r\n\r\n' % MAX_BODY,
        b'z' * MAX_BODY,
    ),
    'longest body in one chunk': (
        CHUNKED,
        chunks(MAX_BODY, 1),
        b'0\r\n\r\n',
    ),
    'chunks of a byte': (CHUNKED, chunks(1, MEGABYTE // 2), b'0\r\n\r\n'),
    'chunks with an extension': (
        CHUNKED,
        b'8;name=value\r\nzzzzzzzz\r\n' * 10_000,
        b'0\r\n\r\n',
    ),
    'a trailer': (
        CHUNKED,
        chunks(8, 8),
        b'0\r\nT: ' + b't' * 1000 + b'\r\n\r\n',
    ),
    'blank lines before it': (
        b'\r\n' * 10,
        POST + b'Content-Length: 0\r\n\r\n',
    ),
    'a head of 16 KB': (POST + b'Y: ' + b'y' * 15_000 + b'\r\n\r\n',),
}


@pytest.mark.parametrize('name', WITHIN)
async def test_a_single_request_within_the_limits_is_served(name: str) -> None:
    async with serving() as site:
        assert await site.status(*WITHIN[name]) == 200
        await until(lambda: site.intake.held_bytes < 2 * CONNECTION_COST_BYTES)


# name: pieces, status of the answer or 0 for a closed connection
BEYOND: dict[str, tuple[tuple[bytes, ...], int]] = {
    'blank lines': ((b'\r\n' * 65_536,), 431),
    'short header lines': ((POST, b'Y: y\r\n' * 12_000), 400),
    'header line': ((POST, b'Y: ' + b'y' * 70_000), 400),
    'long header lines': ((POST, (b'Y: ' + b'y' * 9000 + b'\r\n') * 10), 431),
    'chunk size': ((CHUNKED, b'0' * 400_000), 0),
    'chunk extension': ((CHUNKED, b'1;' + b'e' * 400_000), 0),
    'extensions of small chunks': (
        (CHUNKED, (b'1;' + b'e' * 1000 + b'\r\nz\r\n') * 1000),
        0,
    ),
    'announced body': (
        (POST + b'Content-Length: %d\r\n\r\n' % (MAX_BODY + 1),),
        413,
    ),
    'chunked body': ((CHUNKED, chunks(65_536, 65)), 413),
}


@pytest.mark.parametrize('name', BEYOND)
async def test_a_request_beyond_a_limit_is_refused(name: str) -> None:
    pieces, status = BEYOND[name]
    async with serving() as site:
        assert await site.status(*pieces) in {status, 0}
        assert await site.status(*WITHIN['a trailer']) == 200


async def test_a_body_without_memory_is_refused_as_not_run() -> None:
    async with serving(hold) as site:
        whole = WITHIN['longest body with a length']
        first = await site.send(*whole)
        await until(lambda: site.intake.held_bytes > MAX_BODY)
        assert await site.status(whole[0]) == 503
        assert await site.status(CHUNKED, chunks(65_536, 60)) == 503
        assert not first.at_eof()


async def test_a_body_at_a_standstill_gives_way() -> None:
    async with serving() as site:
        whole = WITHIN['longest body with a length']
        stalled = await site.send(whole[0], whole[1][:-10])
        await until(lambda: site.intake.held_bytes > MAX_BODY)
        await asyncio.sleep(STANDSTILL_S)
        assert await site.status(*whole) == 200
        assert await read_status(stalled) == 503


async def test_a_running_request_is_not_closed_for_others() -> None:
    async with serving(hold, connections=1) as site:
        running = await site.send(*WITHIN['a trailer'])
        await until(lambda: site.intake.connections == 1)
        await asyncio.sleep(STANDSTILL_S)
        assert await site.status(*WITHIN['a trailer']) == 0
        assert not running.at_eof()
        assert site.intake.connections == 1


async def test_an_idle_connection_gives_way_to_a_new_one() -> None:
    async with serving(connections=1) as site:
        idle = await site.send(*WITHIN['a trailer'])
        assert await read_status(idle) == 200
        await asyncio.sleep(STANDSTILL_S)
        assert await site.status(*WITHIN['a trailer']) == 200


async def test_pipelined_requests_are_answered_in_order() -> None:
    async with serving() as site:
        sizes = [size * 997 for size in range(200)]
        reader = await site.send(
            *(
                POST + b'Content-Length: %d\r\n\r\n' % size + b'z' * size
                for size in sizes
            )
        )
        async with asyncio.timeout(20):
            for size in sizes:
                await reader.readuntil(b'\r\n\r\n')
                answer = str(size).encode()
                assert await reader.readexactly(len(answer)) == answer


async def test_clients_that_leave_are_forgotten() -> None:
    async with serving() as site:
        for pieces in WITHIN.values():
            await site.send(pieces[0][:-1])
        site.leave()
        await until(lambda: site.intake.connections == 0)
        assert site.intake.held_bytes == 0
