"""Event streams over real sockets: complete, cut, resumed and timed out."""

import asyncio
from http import HTTPStatus
from itertools import count

import pytest

from tests.standins.rawupstream import (
    RawRequest,
    reset_connection,
    sealed_answer,
)

from .support import HOST, KEY, Script, running_gateway, send_request

EVENTS = 'Content-Type: text/event-stream'


def events(first: int, last: int) -> bytes:
    return b''.join(b'id: %d\ndata: x\n\n' % n for n in range(first, last + 1))


async def test_a_complete_stream_is_passed_on() -> None:
    async def streams(
        request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        body = events(0, 5)
        writer.write(sealed_answer(request, body, extra=EVENTS)[:-40])
        await asyncio.sleep(0.05)
        writer.write(body[-40:])

    async with running_gateway(streams) as setup:
        response = await send_request(setup.port, '/stream/a')
        assert response.body == events(0, 5)
        assert not response.cut


async def cut_stream(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    head = sealed_answer(request, b'', sized=False, extra=EVENTS)
    writer.write(head + events(0, 2) + b'id: 3\nda')
    await writer.drain()
    await asyncio.sleep(0.05)
    reset_connection(writer)


async def test_a_cut_stream_is_incomplete_and_has_only_whole_events() -> None:
    async with running_gateway(cut_stream, cut_stream) as setup:
        response = await send_request(setup.port, '/stream/a')
        assert response.cut
        assert response.body == events(0, 2)
        assert len(setup.runs) == 1


async def test_a_stream_resumes_after_the_last_whole_event() -> None:
    turns = count()

    async def first_cut(
        request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        if not next(turns):
            await cut_stream(request, writer)
            return
        after = int(request.headers['last-event-id'])
        writer.write(sealed_answer(request, events(after + 1, 6), extra=EVENTS))

    async with running_gateway(first_cut, first_cut) as setup:
        response = await send_request(setup.port, '/resumed/a')
        assert not response.cut
        assert response.body == events(0, 6)
        assert len(setup.runs) == 2


def delimited_answer(
    request: RawRequest, body: bytes, delimitation: str
) -> bytes:
    """Return a stream whose framing is complete once the connection ends."""
    if delimitation == 'length':
        return sealed_answer(request, body, extra=EVENTS)
    if delimitation == 'connection':
        return sealed_answer(request, body, sized=False, extra=EVENTS)
    headers = f'{EVENTS}\r\nTransfer-Encoding: chunked'
    head = sealed_answer(request, b'', sized=False, extra=headers)
    return head + b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)


def ending_inside_an_event(delimitation: str) -> Script:
    async def script(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        body = events(0, 2) + b'id: 3\nda'
        writer.write(delimited_answer(request, body, delimitation))
        writer.close()

    return script


DELIMITATIONS = ('connection', 'length', 'chunks')


@pytest.mark.parametrize('delimitation', DELIMITATIONS)
async def test_a_stream_that_ends_inside_an_event_never_looks_complete(
    delimitation: str,
) -> None:
    async with running_gateway(ending_inside_an_event(delimitation)) as setup:
        response = await send_request(setup.port, '/stream/a')
        assert response.cut
        assert response.body == events(0, 2)


@pytest.mark.parametrize('delimitation', DELIMITATIONS)
async def test_a_stream_that_ends_inside_an_event_is_resumed(
    delimitation: str,
) -> None:
    cut = ending_inside_an_event(delimitation)

    async def first_cut(
        request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        if 'last-event-id' not in request.headers:
            await cut(request, writer)
            return
        after = int(request.headers['last-event-id'])
        writer.write(
            delimited_answer(request, events(after + 1, 6), delimitation)
        )
        writer.close()

    async with running_gateway(first_cut, first_cut) as setup:
        response = await send_request(setup.port, '/resumed/a')
        assert not response.cut
        assert response.body == events(0, 6)
        assert len(setup.runs) == 2


@pytest.mark.parametrize('size', [9, 400_000])
@pytest.mark.parametrize(
    'status', ['200 OK', '404 Not Found', '500 Internal Server Error']
)
async def test_no_other_answer_goes_into_a_stream_that_has_begun(
    status: str, size: int
) -> None:
    async def first_cut(
        request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        if 'last-event-id' not in request.headers:
            await cut_stream(request, writer)
            return
        writer.write(sealed_answer(request, b'e' * size, status))

    async with running_gateway(first_cut, first_cut) as setup:
        response = await send_request(setup.port, '/resumed/a')
        assert response.cut
        assert response.body == events(0, 2)


async def test_a_stream_that_ends_before_its_first_event_is_no_answer() -> None:
    async def empty(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(delimited_answer(request, b'', 'connection'))
        writer.close()

    async with running_gateway(empty) as setup:
        response = await send_request(setup.port, '/stream/a')
        assert response.status == HTTPStatus.BAD_GATEWAY


async def test_an_empty_stream_of_stated_length_is_an_answer() -> None:
    async def empty(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(delimited_answer(request, b'', 'length'))

    async with running_gateway(empty) as setup:
        response = await send_request(setup.port, '/stream/a')
        assert (response.status, response.body) == (HTTPStatus.OK, b'')
        assert not response.cut


async def test_a_stream_is_cut_at_the_routes_timeout() -> None:
    async def endless(
        request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(sealed_answer(request, b'', sized=False, extra=EVENTS))
        for number in range(100):
            writer.write(events(number, number))
            await asyncio.sleep(0.05)

    async with running_gateway(endless) as setup:
        setup.configure(timeout_ms=400)
        await setup.wait_until_settled()
        response = await send_request(setup.port, '/stream/a')
        assert response.cut
        assert response.body


async def read_http_1_0(port: int, path: str) -> bytes:
    """Send an HTTP/1.0 request and read until the connection ends.

    :raises ConnectionResetError: it was reset
    """
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    lines = [
        f'GET {path} HTTP/1.0',
        f'Host: {HOST}',
        'Bergamotshed-Attempt-Id: a1',
        f'Authorization: Bearer {KEY}',
    ]
    writer.write('\r\n'.join((*lines, '', '')).encode())
    try:
        async with asyncio.timeout(10):
            return await reader.read()
    finally:
        writer.close()


async def test_an_http_1_0_caller_receives_a_whole_stream() -> None:
    async def whole(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(sealed_answer(request, events(0, 2), extra=EVENTS))

    async with running_gateway(whole) as setup:
        received = await read_http_1_0(setup.port, '/stream/a')
        assert received.partition(b'\r\n\r\n')[2] == events(0, 2)


async def test_a_cut_stream_never_looks_complete_to_an_http_1_0_caller() -> (
    None
):
    # Without chunks the answer ends with its connection.
    async with running_gateway(cut_stream) as setup:
        with pytest.raises(ConnectionResetError):
            await read_http_1_0(setup.port, '/stream/a')


@pytest.mark.parametrize('begun', [0, 3])
async def test_no_event_before_a_gap_is_lost(begun: int) -> None:
    # Events that were read together with a misplaced one were dropped, but
    # counted as passed on.
    async def skips(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        if 'last-event-id' in request.headers:
            after = int(request.headers['last-event-id'])
            rest = events(after + 1, 9)
            writer.write(sealed_answer(request, rest, extra=EVENTS))
            return
        body = events(0, 5) + events(8, 9)
        answer = sealed_answer(request, body, extra=EVENTS)
        cut = len(answer) - len(body) + len(events(0, begun - 1))
        writer.write(answer[:cut])
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(answer[cut:])

    async with running_gateway(skips, skips) as setup:
        response = await send_request(setup.port, '/resumed/a')
        assert response.body == events(0, 9)
        assert not response.cut


ERRORS = {
    'head': 'HTTP/1.1 500 Failed\r\nServer: x\r\nContent-Length: 0\r\n\r\n',
    'head and text': 'HTTP/1.1 500 Failed\r\nServer: x\r\n\r\nfailed\n\n',
    'bare text': 'upstream failed\n\n',
    'field and text': 'data: x\nupstream failed\n\n',
    'event without an id': 'data: x\n\n',
}


# Inside an event these can't be told from its data.
PLAIN_ERRORS = frozenset(('bare text', 'event without an id'))
PLACES = [
    (name, is_inside)
    for name in ERRORS
    for is_inside in (False, True)
    if not (is_inside and name in PLAIN_ERRORS)
]


@pytest.mark.parametrize(('name', 'is_inside'), PLACES)
@pytest.mark.parametrize('path', ['/stream/a', '/resumed/a'])
async def test_an_error_behind_events_does_not_go_into_their_stream(
    path: str, name: str, is_inside: bool
) -> None:
    # A stream without a length broke off, and its upstream wrote an error.
    started = events(0, 2)
    if is_inside:
        started += b'id: 3\ndata: x'

    async def breaks_off(
        request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        if 'last-event-id' in request.headers:
            after = int(request.headers['last-event-id'])
            rest = events(after + 1, 6)
            writer.write(sealed_answer(request, rest, extra=EVENTS))
            return
        head = sealed_answer(request, b'', sized=False, extra=EVENTS)
        writer.write(head + started + ERRORS[name].encode())
        writer.close()

    async with running_gateway(breaks_off, breaks_off) as setup:
        response = await send_request(setup.port, path)
        is_resumable = path == '/resumed/a'
        assert response.body == events(0, 6 if is_resumable else 2)
        assert response.cut is not is_resumable


async def test_a_stream_whose_next_upstream_ends_at_once_is_not_complete() -> (
    None
):
    async def first_cut(
        request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        if 'last-event-id' not in request.headers:
            await cut_stream(request, writer)
            return
        writer.write(delimited_answer(request, b'', 'connection'))
        writer.close()

    async with running_gateway(first_cut, first_cut) as setup:
        response = await send_request(setup.port, '/resumed/a')
        assert response.cut
        assert response.body == events(0, 2)
