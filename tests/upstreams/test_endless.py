"""Upstreams that send bytes without end that are no answer."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from bergamotshed.upstreams.parsing import AnswerParser
from bergamotshed.upstreams.types import UpstreamAnswerBroken
from tests.gateway.support import (
    GatewayEnvironment,
    running_gateway,
    send_request,
)
from tests.standins.rawupstream import RawRequest, sealed_answer

#: The issue's goal: most bytes that are taken in, and how long it may take.
MAX_TAKEN_BYTES = 262_144
MAX_DECISION_S = 0.1
BLOCK = 16_384
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
HEAD = b'HTTP/1.1 200 OK\r\nX: y\r\n'
STREAM = CHUNKED.replace(b'\r\n\r\n', b'\r\nContent-Type: text/event-stream')

# name: (bytes before, bytes that are repeated without end)
ENDLESS: dict[str, tuple[bytes, bytes]] = {
    'one header line': (HEAD + b'Y: ', b'y' * BLOCK),
    'many header lines': (HEAD, b'Y: yyyyyyyyyyyyyyyyyyyyyyyy\r\n' * 512),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 512),
    'a chunk size': (HEAD + CHUNKED, b'0' * BLOCK),
    'a chunk extension': (HEAD + CHUNKED + b'5;', b'e' * BLOCK),
    'extensions of small chunks': (
        HEAD + CHUNKED,
        b'1;' + b'e' * BLOCK + b'\r\nx\r\n',
    ),
    'a trailer': (HEAD + CHUNKED + b'2\r\nok\r\n0\r\nT: ', b't' * BLOCK),
    'many trailers': (
        HEAD + CHUNKED + b'2\r\nok\r\n0\r\n',
        b'T: tttttttttttttttttttt\r\n' * 512,
    ),
}


@pytest.mark.parametrize('size', [1, 1000, BLOCK])
@pytest.mark.parametrize('name', ENDLESS)
def test_bytes_without_end_are_refused_early(name: str, size: int) -> None:
    before, repeated = ENDLESS[name]
    parser = AnswerParser()
    stream = before + repeated * (4 * MAX_TAKEN_BYTES // len(repeated))
    taken = 0
    with pytest.raises(UpstreamAnswerBroken):
        while taken < len(stream):
            parser.feed(stream[taken : taken + size])
            taken += size
    assert taken <= MAX_TAKEN_BYTES


@pytest.mark.parametrize('piece', [1, 7, 100])
def test_long_bodies_of_small_chunks_are_read(piece: int) -> None:
    parser = AnswerParser()
    parser.feed(HEAD + CHUNKED)
    chunk = b'%x\r\n%s\r\n' % (piece, b'b' * piece)
    received = 0
    for _ in range(100_000):
        parser.feed(chunk)
        received += len(parser.take_body())
    parser.feed(b'0\r\n\r\n')
    assert parser.is_complete
    assert received == 100_000 * piece


def test_a_large_head_within_the_limit_is_read() -> None:
    parser = AnswerParser()
    parser.feed(HEAD)
    for number in range(500):
        parser.feed(b'Header-%d: %s\r\n' % (number, b'v' * 100))
    parser.feed(b'Content-Length: 2\r\n\r\nok')
    assert parser.is_complete


@asynccontextmanager
async def endless_upstream(
    name: str,
) -> AsyncIterator[tuple[GatewayEnvironment, list[int]]]:
    """Run a gateway before an upstream that counts the bytes it could send."""
    before, repeated = ENDLESS[name]
    sent = [0]

    async def answer(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(
            sealed_answer(request, b'', sized=False)[: -len(b'\r\n')]
            + before.removeprefix(HEAD)
            if before.startswith(HEAD)
            else before
        )
        while not writer.is_closing():
            writer.write(repeated)
            sent[0] += len(repeated)
            await writer.drain()

    async with running_gateway(answer) as environment:
        yield environment, sent


@pytest.mark.parametrize('name', ENDLESS)
async def test_an_endless_answer_is_given_up_at_once(name: str) -> None:
    async with endless_upstream(name) as (environment, _):
        started = time.monotonic()
        response = await send_request(environment.port, '/once/a')
        assert time.monotonic() - started < MAX_DECISION_S + 0.2
        assert response.status == 502
