"""Upstreams, peers and the store that send bodies without end."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from datetime import timedelta

import pytest
from aiohttp import ClientPayloadError, ClientSession

from bergamotshed.clock import SystemClock
from bergamotshed.forwarding.request_timeouts import RequestTimeouts
from bergamotshed.forwarding.types import UnknownOutcome
from bergamotshed.http_bodies import MAX_BODY_BYTES, read_body
from bergamotshed.platform.headers import PlatformDialect
from bergamotshed.platform.store import PlatformStore
from bergamotshed.roster.types import RosterEntry
from bergamotshed.routers.relayframes import (
    AnswerHeadFrame,
    AnswerPiece,
    encode_frame,
)
from bergamotshed.routers.requestrelay import RequestRelay
from bergamotshed.store.types import StoreUnavailable, Topic
from tests.standins.rawupstream import RawRequest

from .scripts import fine
from .support import Script, running_gateway, send_request

AT_ONCE_S = 1.0
PIECE = b'x' * 16_384
CHUNK = b'%x\r\n%s\r\n' % (len(PIECE), PIECE)
CHUNKED = 'Transfer-Encoding: chunked\r\n'
NOT_EXECUTED = 'Bergamotshed-Not-Executed: 1\r\n'
#: Statuses and headers of refusals and failures.
HEADS = {
    'refusal': '503 Busy\r\n' + NOT_EXECUTED,
    'rate limit': '429 Slow\r\n' + NOT_EXECUTED,
    'misdirected': '421 Misdirected Request\r\n',
    'own 503': '503 Busy\r\n',
    'failure': '500 Failed\r\nBergamotshed-Response-Seal: s\r\n',
    'not found': '404 Not Found\r\nBergamotshed-Response-Seal: s\r\n',
}
#: What a peer may take in beyond its limit: buffers of the sockets.
BUFFERS_BYTES = 16_777_216


class EndlessBody:
    """Writes an answer with a body that never ends.

    :ivar sent_bytes: bytes that were written so far
    """

    def __init__(self, head: str, *, is_chunked: bool) -> None:
        self.sent_bytes = 0
        self._head = head + (CHUNKED if is_chunked else '')
        self._piece = CHUNK if is_chunked else PIECE

    async def __call__(
        self, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        attempt = f'Bergamotshed-Attempt-Id: {request.attempt}\r\n'
        writer.write(f'HTTP/1.1 {self._head}{attempt}\r\n'.encode())
        await self.send_on(writer)

    async def send_on(self, writer: asyncio.StreamWriter) -> None:
        while not writer.is_closing():
            writer.write(self._piece)
            self.sent_bytes += len(self._piece)
            await writer.drain()


@pytest.mark.parametrize('is_chunked', [True, False], ids=['chunks', 'unsized'])
@pytest.mark.parametrize('name', HEADS)
async def test_an_endless_body_of_a_refusal_or_failure_is_given_up(
    name: str, is_chunked: bool
) -> None:
    body = EndlessBody(HEADS[name], is_chunked=is_chunked)
    async with running_gateway(body) as env:
        started_at = time.monotonic()
        response = await send_request(env.port, '/once/a')
        assert time.monotonic() - started_at < AT_ONCE_S
        assert response.status == 502
        assert not response.cut
        assert body.sent_bytes < BUFFERS_BYTES


@pytest.mark.parametrize('name', ['refusal', 'failure'])
async def test_another_upstream_answers_instead(name: str) -> None:
    body = EndlessBody(HEADS[name], is_chunked=True)
    scripts: list[Script] = [body, fine]
    async with running_gateway(*scripts) as env:
        for number in range(4):
            response = await send_request(
                env.port, '/twice/a', attempt=f'a{number}'
            )
            assert response.status == 200


@asynccontextmanager
async def serving(
    answer: Callable[[asyncio.StreamWriter], object],
) -> AsyncIterator[str]:
    """Serve one kind of answer to any request; yield the address."""

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b'\r\n\r\n')
            await answer(writer)  # type: ignore[misc]
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    server = await asyncio.start_server(handle, '127.0.0.1', 0)
    async with server:
        yield f'127.0.0.1:{server.sockets[0].getsockname()[1]}'


@pytest.mark.parametrize('status', ['200 OK', '410 Gone', '503 Busy'])
async def test_an_endless_answer_of_the_store_is_given_up(status: str) -> None:
    body = EndlessBody('', is_chunked=False)

    async def answer(writer: asyncio.StreamWriter) -> None:
        writer.write(f'HTTP/1.1 {status}\r\n\r\n'.encode())
        await body.send_on(writer)

    async with serving(answer) as address, ClientSession() as session:
        store = PlatformStore(address, session)
        with pytest.raises(StoreUnavailable):
            await store.newest(Topic.UPSTREAMS)
    assert body.sent_bytes < MAX_BODY_BYTES + BUFFERS_BYTES


async def test_a_body_at_the_limit_is_read() -> None:
    async def answer(writer: asyncio.StreamWriter) -> None:
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n')
        writer.write(b'x' * 100)
        await writer.drain()

    async with serving(answer) as address, ClientSession() as session:
        async with session.get(f'http://{address}/') as response:
            assert len(await read_body(response, 100)) == 100
        async with session.get(f'http://{address}/') as response:
            with pytest.raises(ClientPayloadError):
                await read_body(response, 99)


async def test_an_endless_answer_of_a_peer_is_given_up() -> None:
    body = EndlessBody('', is_chunked=False)
    piece = encode_frame(AnswerPiece(PIECE))
    body._piece = piece

    async def answer(writer: asyncio.StreamWriter) -> None:
        writer.write(b'HTTP/1.1 200 OK\r\n\r\n')
        writer.write(encode_frame(AnswerHeadFrame(200, (), is_stream=False)))
        await body.send_on(writer)

    clock = SystemClock()
    async with serving(answer) as address, ClientSession() as session:
        peer = RosterEntry('gw-2', '', '', 'a', 1, relay=address)
        relay = RequestRelay(
            session, lambda service: [peer], RequestTimeouts(), clock
        )
        request = PlatformDialect().read_request(
            'GET',
            '/once/a',
            ((b'Bergamotshed-Attempt-Id', b'a1'),),
            b'',
            clock.monotonic(),
        )
        started_at = time.monotonic()
        result = await relay.forward(
            request,
            's',
            clock.monotonic() + timedelta(seconds=3).total_seconds(),
            None,  # type: ignore[arg-type]
        )
    assert isinstance(result, UnknownOutcome)
    assert time.monotonic() - started_at < AT_ONCE_S
    assert body.sent_bytes < BUFFERS_BYTES
