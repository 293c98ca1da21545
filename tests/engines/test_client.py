import json
from collections.abc import AsyncIterator
from datetime import timedelta

import pytest
from aiohttp import ClientSession

from bergamotshed.clock import SystemClock
from bergamotshed.engines.client import HttpEngineClient
from bergamotshed.engines.types import (
    ChatMessage,
    EngineCut,
    EngineDown,
    EngineError,
    EngineOverloaded,
    EngineRejected,
    EngineRequest,
    EngineSilent,
    Finish,
    Order,
    OrderKind,
    OrderRefused,
    Resume,
)
from tests.engines.scripted import HEAD, answer, scripted

REQUEST = EngineRequest('r', 1, 'draft', (ChatMessage('user', 'hello'),))
IDLE = timedelta(seconds=0.2)


def token(offset: int, request: str = 'r', attempt: int = 1) -> bytes:
    event = {
        'request': request,
        'attempt': attempt,
        'offset': offset,
        'text': f'{offset} ',
    }
    return b'data: ' + json.dumps(event).encode() + b'\n\n'


def finish(offset: int, attempt: int = 1) -> bytes:
    event = {
        'request': 'r',
        'attempt': attempt,
        'offset': offset,
        'finish': 'stop',
        'cached': 3,
        'prompt': 5,
    }
    return b'data: ' + json.dumps(event).encode() + b'\n\n'


DONE = b'data: [DONE]\n\n'


@pytest.fixture
async def client() -> AsyncIterator[HttpEngineClient]:
    async with ClientSession() as session:
        yield HttpEngineClient(session, SystemClock(), IDLE)


async def read_stream(
    client: HttpEngineClient, address: str, request: EngineRequest = REQUEST
) -> tuple[str, bool]:
    """Return the text and whether the finish event arrived."""
    texts: list[str] = []
    async for event in client.stream(address, request):
        if isinstance(event, Finish):
            return ''.join(texts), True
        texts.append(event.text)
    return ''.join(texts), False


COMPLETE_ANSWERS = {
    'in order': token(0) + token(1) + finish(2) + DONE,
    'duplicates': token(0) + token(0) + token(1) + token(0) + finish(2),
    'very many duplicates': token(0) * 400 + token(1) + finish(2),
    'reordered': token(1) + token(0) + finish(2),
    'finish before its tokens': finish(2) + token(1) + token(0),
    'of another attempt': token(0, attempt=2) + token(0) + token(1) + finish(2),
    'of another request': token(0, 'x') + token(0) + token(1) + finish(2),
    'late finish of another attempt': (
        token(0) + finish(1, attempt=0) + token(1) + finish(2)
    ),
    'comments and unknown fields': (
        b': ping\n\nid: 1\n' + token(0) + token(1) + finish(2)
    ),
    'long line breaks': (token(0) + token(1) + finish(2)).replace(
        b'\n', b'\r\n'
    ),
}


@pytest.mark.parametrize('name', COMPLETE_ANSWERS)
async def test_complete_answers(client: HttpEngineClient, name: str) -> None:
    async with scripted(HEAD + COMPLETE_ANSWERS[name]) as (address, _):
        assert await read_stream(client, address) == ('0 1 ', True)


CUT_ANSWERS = {
    'no answer': b'',
    'half a head': b'HTTP/1.1 200 OK\r\nContent-',
    'head only': HEAD,
    'no finish event': HEAD + token(0) + token(1),
    'done without a finish event': HEAD + token(0) + DONE,
    'half an event': HEAD + token(0) + token(1)[:20],
    'a gap that is never filled': HEAD + token(0) + token(2) + finish(3),
    'a finish before the last token': HEAD + token(0) + token(1) + finish(1),
    'tokens beyond the finish': HEAD + token(0) + token(5) + finish(3),
    'malformed event': HEAD + token(0) + b'data: {"offset":\n\n',
    'endless event': HEAD + b'data: ' + b'x' * (2 << 20),
    'server error': answer('500 Internal Server Error'),
    'bad gateway': answer('502 Bad Gateway'),
    'redirect': answer('307 Temporary Redirect', b'', 'Location: /other'),
}


@pytest.mark.parametrize('name', CUT_ANSWERS)
async def test_cut_answers_raise_engine_cut(
    client: HttpEngineClient, name: str
) -> None:
    async with scripted(CUT_ANSWERS[name]) as (address, server):
        with pytest.raises(EngineCut):
            await read_stream(client, address)
        assert len(server.received) == 1


@pytest.mark.parametrize('answer_bytes', [b'', HEAD, HEAD + token(0)])
async def test_read_timeouts_raise_engine_silent(
    client: HttpEngineClient, answer_bytes: bytes
) -> None:
    async with scripted(answer_bytes, hang=True) as (address, _):
        with pytest.raises(EngineSilent):
            await read_stream(client, address)


REFUSALS: dict[str, tuple[bytes, type[EngineError]]] = {
    'overloaded': (answer('429 Too Many Requests'), EngineOverloaded),
    'unavailable': (answer('503 Service Unavailable'), EngineOverloaded),
    'bad request': (answer('400 Bad Request', b'why'), EngineRejected),
    'unknown': (answer('404 Not Found'), EngineRejected),
}


@pytest.mark.parametrize('name', REFUSALS)
async def test_refused_requests(client: HttpEngineClient, name: str) -> None:
    answer_bytes, expected = REFUSALS[name]
    async with scripted(answer_bytes) as (address, _):
        with pytest.raises(expected):
            await read_stream(client, address)


async def test_retry_after_is_reported(client: HttpEngineClient) -> None:
    answer_bytes = answer('503 Service Unavailable', b'', 'Retry-After: 7')
    async with scripted(answer_bytes) as (address, _):
        with pytest.raises(EngineOverloaded) as caught:
            await read_stream(client, address)
    assert caught.value.retry_after == timedelta(seconds=7)


async def test_refused_connection(client: HttpEngineClient) -> None:
    async with scripted(b'') as (address, _):
        pass
    with pytest.raises(EngineDown):
        await read_stream(client, address)


async def test_resume_and_reattach_continue_at_the_offset(
    client: HttpEngineClient,
) -> None:
    resumed = EngineRequest(
        'r', 2, 'draft', REQUEST.messages, resume=Resume(1, '0 ')
    )
    remaining_events = (
        HEAD + token(0, attempt=2) + token(1, attempt=2) + finish(2, 2)
    )
    async with scripted(remaining_events) as (address, server):
        assert await read_stream(client, address, resumed) == ('1 ', True)
        events = [event async for event in client.reattach(address, resumed, 1)]
        assert len(events) == 2
        assert (
            b'GET /v1/requests/r/stream?from=1&attempt=2'
            in (server.received[1])
        )


async def test_older_fencing_token_is_refused(
    client: HttpEngineClient,
) -> None:
    answer_bytes = answer('409 Conflict', b'{"fence": 9}')
    async with scripted(answer_bytes) as (address, _):
        with pytest.raises(OrderRefused) as caught:
            await client.order(address, Order(OrderKind.ROLE, 3, role='draft'))
    assert caught.value.fence == 9


@pytest.mark.parametrize(
    'answer_bytes', [answer('200 OK', b'{}'), answer('200 OK', b'<html>'), b'']
)
async def test_malformed_load_report(
    client: HttpEngineClient, answer_bytes: bytes
) -> None:
    async with scripted(answer_bytes) as (address, _):
        with pytest.raises(EngineCut):
            await client.load(address)
