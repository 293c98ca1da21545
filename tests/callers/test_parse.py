"""Malformed, oversized and slow requests get a 4xx answer and do not run."""

import asyncio
import json
from datetime import timedelta
from typing import Any

import pytest

from tests.callers.chat_client import ORGANISATION, messages, send_chat
from tests.dispatch.support import open_bench

CHAT = '/v1/chat/completions'
VALID_BODY = {'model': 'draft', 'messages': messages('hello')}

# name: (path, headers, body, status)
INVALID_REQUESTS: dict[str, tuple[str, dict[str, str], Any, int]] = {
    'no body': (CHAT, ORGANISATION, b'', 400),
    'no JSON': (CHAT, ORGANISATION, b'{"model"', 400),
    'no object': (CHAT, ORGANISATION, b'[]', 400),
    'not UTF-8': (CHAT, ORGANISATION, b'{"model": "\xff"}', 400),
    'deep': (CHAT, ORGANISATION, b'{"x":' + b'[' * 20000, 400),
    'no model': (CHAT, ORGANISATION, {'messages': messages('x')}, 400),
    'no messages': (CHAT, ORGANISATION, {**VALID_BODY, 'messages': []}, 400),
    'wrong type': (CHAT, ORGANISATION, {**VALID_BODY, 'max_tokens': 'x'}, 400),
    'too many tokens': (
        CHAT,
        ORGANISATION,
        {**VALID_BODY, 'max_tokens': 0},
        400,
    ),
    'no text part': (
        CHAT,
        ORGANISATION,
        {
            **VALID_BODY,
            'messages': [{'role': 'user', 'content': [{'type': 'image_url'}]}],
        },
        400,
    ),
    'no organisation': (CHAT, {}, VALID_BODY, 400),
    'priority': (CHAT, {**ORGANISATION, 'X-Priority': '10'}, VALID_BODY, 400),
    'priority sign': (
        CHAT,
        {**ORGANISATION, 'X-Priority': '-1'},
        VALID_BODY,
        400,
    ),
    'deadline': (
        CHAT,
        {**ORGANISATION, 'X-Deadline-Ms': 'soon'},
        VALID_BODY,
        400,
    ),
    'at-most-once mark': (
        CHAT,
        {**ORGANISATION, 'X-At-Most-Once': 'yes'},
        VALID_BODY,
        400,
    ),
    'long key': (
        CHAT,
        {**ORGANISATION, 'Idempotency-Key': 'k' * 300},
        VALID_BODY,
        400,
    ),
    'control characters': (
        CHAT,
        {**ORGANISATION, 'X-Chat-Id': '\u200b'},
        VALID_BODY,
        400,
    ),
    'oversized': (CHAT, ORGANISATION, b'x' * (1 << 17), 413),
    'unknown path': ('/v1/other', ORGANISATION, VALID_BODY, 404),
    'odd service name': ('/v1/services/a%20b/c', ORGANISATION, VALID_BODY, 404),
    'oversized call': ('/v1/services/a/b', ORGANISATION, b'x' * (1 << 17), 413),
}


@pytest.mark.parametrize('name', INVALID_REQUESTS)
async def test_invalid_requests_get_4xx(name: str) -> None:
    path, headers, body, status = INVALID_REQUESTS[name]
    body_sent = body if isinstance(body, bytes) else json.dumps(body).encode()
    async with open_bench() as bench:
        async with bench.session.post(
            f'{bench.url}{path}', data=body_sent, headers=headers
        ) as response:
            assert response.status == status
            error = (await response.json())['error']
        assert (error['type'], error['reason']) == ('failed', 'bad_request')
        assert error['message']
        assert not bench.placer.requests


async def test_unsupported_method_gets_a_json_error() -> None:
    async with (
        open_bench() as bench,
        bench.session.get(f'{bench.url}{CHAT}') as response,
    ):
        assert response.status == 405
        assert (await response.json())['error']['type'] == 'failed'


SLOW_INPUTS = {
    'body': b'POST ' + CHAT.encode() + b' HTTP/1.1\r\nHost: x\r\n'
    b'X-Organisation: sierra\r\nContent-Length: 100\r\n\r\n{',
    'head': b'POST ' + CHAT.encode() + b' HTTP/1.1\r\nHost: x\r\nX-Orga',
    'nothing': b'',
}


@pytest.mark.parametrize('name', SLOW_INPUTS)
async def test_slow_requests_time_out(name: str) -> None:
    limit = timedelta(seconds=0.2)
    async with open_bench(read_timeout=limit) as bench:
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', bench.server.port
        )
        writer.write(SLOW_INPUTS[name])
        async with asyncio.timeout(2):
            response = await reader.read()
        assert response.startswith(b'HTTP/1.1 408 ')
        error = json.loads(response.partition(b'\r\n\r\n')[2])['error']
        assert error['type'] == 'failed'
        writer.close()
        assert (await send_chat(bench.session, bench.url, 'hello')).is_complete


async def test_fields_and_parts_of_the_common_format_are_accepted() -> None:
    parts = [{'type': 'text', 'text': 'hel'}, {'type': 'text', 'text': 'lo'}]
    async with open_bench() as bench:
        answer = await send_chat(
            bench.session,
            bench.url,
            '',
            headers={'X-Priority': '0', 'X-Chat-Id': 'c1'},
            model='draft+quito',
            messages=[{'role': 'user', 'content': parts, 'name': 'x'}],
            temperature=0.3,
            max_completion_tokens=4,
            user='u',
        )
        assert answer.is_complete
        assert answer.usage is not None
        assert answer.usage['completion_tokens'] == 4
        placement = bench.placer.requests[0]
        assert (placement.priority, placement.model) == (0, 'draft@1+quito')


async def test_chat_without_id_is_identified_by_its_first_messages() -> None:
    opening = messages('hello')
    later = [*opening, {'role': 'assistant', 'content': 'hi'}, *messages('x')]
    async with open_bench() as bench:
        for headers, chat_messages in (
            ({}, opening),
            ({}, later),
            ({'X-Organisation': 'costa'}, later),
            ({}, messages('other')),
        ):
            await send_chat(
                bench.session,
                bench.url,
                '',
                headers=headers,
                messages=chat_messages,
            )
        chats = [placement.chat for placement in bench.placer.requests]
        assert chats[0] == chats[1]
        assert len(set(chats)) == 3


async def test_placement_token_names_the_upstream_of_its_organisation() -> None:
    async with open_bench() as bench:
        answer = await send_chat(bench.session, bench.url, 'hello')
        token = {'X-Placement': answer.headers['X-Placement']}
        await send_chat(bench.session, bench.url, 'hello', headers=token)
        await send_chat(
            bench.session,
            bench.url,
            'hello',
            headers={**token, 'X-Organisation': 'costa'},
        )
        preferred = [placement.preferred for placement in bench.placer.requests]
        assert preferred == ['', 'e0', '']
