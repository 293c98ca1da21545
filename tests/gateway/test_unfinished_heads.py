"""Upstreams that stop within the head of an answer and close."""

import asyncio

import pytest

from tests.standins.rawupstream import RawRequest, reset_connection

from .scripts import fine
from .support import (
    HOST,
    KEY,
    GatewayEnvironment,
    RawResponse,
    Script,
    running_gateway,
    send_request,
)

HEAD = (
    'HTTP/1.1 200 OK\r\nBergamotshed-Attempt-Id: {attempt}\r\n'
    'Bergamotshed-Response-Seal: seal\r\n'
)
EVENT_STREAM = 'Content-Type: text/event-stream\r\n'
#: Heads by name; the part of the body that may follow them.
ANSWERS = {
    'length': (HEAD + 'Content-Length: 12\r\n\r\n', b'hello'),
    'no body': (HEAD + 'Content-Length: 0\r\n\r\n', b''),
    'chunks': (HEAD + 'Transfer-Encoding: chunked\r\n\r\n', b'5\r\nhello\r\n'),
    'unsized': (HEAD + 'Connection: close\r\n\r\n', b''),
    'events': (
        HEAD + EVENT_STREAM + 'Transfer-Encoding: chunked\r\n\r\n',
        b'11\r\nid: 0\ndata: x\n\n\r\n',
    ),
    'unsized events': (HEAD + EVENT_STREAM + '\r\n', b'id: 0\ndata: x\n\n'),
    'interim first': (
        'HTTP/1.1 100 Continue\r\n\r\n' + HEAD + 'Content-Length: 12\r\n\r\n',
        b'hello',
    ),
    'not modified': (HEAD.replace('200 OK', '304 Not Modified') + '\r\n', b''),
    'version 1.0': (
        HEAD.replace('HTTP/1.1', 'HTTP/1.0') + 'Content-Length: 12\r\n\r\n',
        b'hello',
    ),
    'bare line feeds': (
        HEAD.replace('\r\n', '\n') + 'Content-Length: 12\n\n',
        b'hello',
    ),
}
PATHS = ('/once/a', '/stream/a')
#: Offsets within a head are tried in steps of so many bytes, and all of the
#: last ones, where the blank line is.
STEP_BYTES = 7
LAST_BYTES = 8


class UnfinishedAnswers:
    """Writes the beginning of an answer and closes."""

    def __init__(self, name: str) -> None:
        self.head, self.body = ANSWERS[name]
        self.sent_bytes = 0
        self.is_reset = False

    def answer(self, attempt: str) -> bytes:
        return self.head.format(attempt=attempt).encode() + self.body

    def head_bytes(self, attempt: str) -> int:
        return len(self.head.format(attempt=attempt))

    async def __call__(
        self, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(self.answer(request.attempt)[: self.sent_bytes])
        await writer.drain()
        if self.is_reset:
            await asyncio.sleep(0.002)
            reset_connection(writer)
            return
        writer.close()


def offsets(head_bytes: int) -> list[int]:
    """Return how many bytes of the head are sent; never all of them."""
    last = range(head_bytes - LAST_BYTES, head_bytes)
    return sorted({*range(0, head_bytes, STEP_BYTES), *last})


async def answers_to_unfinished_heads(
    env: GatewayEnvironment,
    script: UnfinishedAnswers,
    path: str,
) -> dict[int, RawResponse]:
    """Return what the caller gets, by the number of bytes that were sent."""
    responses = {}
    for number, sent_bytes in enumerate(offsets(script.head_bytes('a000'))):
        script.sent_bytes = sent_bytes
        responses[sent_bytes] = await send_request(
            env.port, path, attempt=f'a{number:03}'
        )
    return responses


@pytest.mark.parametrize('is_reset', [False, True], ids=['closed', 'reset'])
@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('name', ANSWERS)
async def test_a_head_that_ends_early_is_no_answer(
    name: str, path: str, is_reset: bool
) -> None:
    script = UnfinishedAnswers(name)
    script.is_reset = is_reset
    async with running_gateway(script) as env:
        responses = await answers_to_unfinished_heads(env, script, path)
    taken_for_answers = {
        sent_bytes: (response.status, response.body)
        for sent_bytes, response in responses.items()
        if not response.cut and response.status not in {502, 504}
    }
    assert taken_for_answers == {}


async def head_status(port: int, attempt: str) -> int:
    """Send a HEAD request; return the status, 0 without an answer."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(
        f'HEAD /once/a HTTP/1.1\r\nHost: {HOST}\r\n'
        f'Authorization: Bearer {KEY}\r\n'
        f'Bergamotshed-Attempt-Id: {attempt}\r\n\r\n'.encode()
    )
    try:
        return int((await reader.readuntil(b'\r\n')).split()[1])
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0
    finally:
        writer.close()


@pytest.mark.parametrize('name', ['length', 'unsized', 'chunks'])
async def test_an_unfinished_head_of_a_head_request_is_no_answer(
    name: str,
) -> None:
    script = UnfinishedAnswers(name)
    statuses = set()
    async with running_gateway(script) as env:
        for number, sent_bytes in enumerate(offsets(script.head_bytes('a000'))):
            script.sent_bytes = sent_bytes
            statuses.add(await head_status(env.port, f'a{number:03}'))
    assert statuses <= {0, 502, 504}


@pytest.mark.parametrize('name', ANSWERS)
async def test_an_unfinished_head_on_a_reused_connection_is_no_answer(
    name: str,
) -> None:
    script = UnfinishedAnswers(name)
    whole = fine_answers(script)
    async with running_gateway(whole) as env:
        for number, sent_bytes in enumerate(offsets(script.head_bytes('a000'))):
            script.sent_bytes = sent_bytes
            first = await send_request(env.port, '/once/a', attempt='fine')
            assert first.status == 200
            second = await send_request(
                env.port, '/once/a', attempt=f'a{number:03}'
            )
            assert second.cut or second.status in {502, 504}
        assert any(request.connection > 0 for request in env.runs)
        assert len({request.connection for request in env.runs}) < len(env.runs)


def fine_answers(script: UnfinishedAnswers) -> Script:
    """Return a script that answers the attempt ``fine`` as a whole."""

    async def answer(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        if request.attempt == 'fine':
            await fine(request, writer)
        else:
            await script(request, writer)

    return answer
