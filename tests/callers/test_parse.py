"""Malformed, oversized and slow input gets a clear 4xx, and nothing runs."""

import asyncio
import json
from datetime import timedelta
from typing import Any

import pytest

from tests.callers.chat_client import ORGANISATION, ask, messages
from tests.dispatch.support import open_bench

CHAT = '/v1/chat/completions'
GOOD = {'model': 'draft', 'messages': messages('hello')}

# name: (path, headers, body, status)
WRONG: dict[str, tuple[str, dict[str, str], Any, int]] = {
    'no body': (CHAT, ORGANISATION, b'', 400),
    'no JSON': (CHAT, ORGANISATION, b'{"model"', 400),
    'no object': (CHAT, ORGANISATION, b'[]', 400),
    'not UTF-8': (CHAT, ORGANISATION, b'{"model": "\xff"}', 400),
    'deep': (CHAT, ORGANISATION, b'{"x":' + b'[' * 20000, 400),
    'no model': (CHAT, ORGANISATION, {'messages': messages('x')}, 400),
    'no messages': (CHAT, ORGANISATION, {**GOOD, 'messages': []}, 400),
    'wrong type': (CHAT, ORGANISATION, {**GOOD, 'max_tokens': 'x'}, 400),
    'too many tokens': (CHAT, ORGANISATION, {**GOOD, 'max_tokens': 0}, 400),
    'no text part': (
        CHAT,
        ORGANISATION,
        {
            **GOOD,
            'messages': [{'role': 'user', 'content': [{'type': 'image_url'}]}],
        },
        400,
    ),
    'no organisation': (CHAT, {}, GOOD, 400),
    'priority': (CHAT, {**ORGANISATION, 'X-Priority': '10'}, GOOD, 400),
    'priority sign': (CHAT, {**ORGANISATION, 'X-Priority': '-1'}, GOOD, 400),
    'deadline': (CHAT, {**ORGANISATION, 'X-Deadline-Ms': 'soon'}, GOOD, 400),
    'mark': (CHAT, {**ORGANISATION, 'X-At-Most-Once': 'yes'}, GOOD, 400),
    'long key': (
        CHAT,
        {**ORGANISATION, 'Idempotency-Key': 'k' * 300},
        GOOD,
        400,
    ),
    'control characters': (
        CHAT,
        {**ORGANISATION, 'X-Chat-Id': '\u200b'},
        GOOD,
        400,
    ),
    'oversized': (CHAT, ORGANISATION, b'x' * (1 << 17), 413),
    'unknown path': ('/v1/other', ORGANISATION, GOOD, 404),
    'odd service name': ('/v1/services/a%20b/c', ORGANISATION, GOOD, 404),
    'oversized call': ('/v1/services/a/b', ORGANISATION, b'x' * (1 << 17), 413),
}


@pytest.mark.parametrize('name', WRONG)
async def test_wrong_input(name: str) -> None:
    path, headers, body, status = WRONG[name]
    sent = body if isinstance(body, bytes) else json.dumps(body).encode()
    async with open_bench() as bench:
        async with bench.session.post(
            f'{bench.url}{path}', data=sent, headers=headers
        ) as response:
            assert response.status == status
            error = (await response.json())['error']
        assert (error['type'], error['reason']) == ('failed', 'bad_request')
        assert error['message']
        assert not bench.placer.asked


async def test_wrong_method_is_told_as_json() -> None:
    async with (
        open_bench() as bench,
        bench.session.get(f'{bench.url}{CHAT}') as response,
    ):
        assert response.status == 405
        assert (await response.json())['error']['type'] == 'failed'


SLOW = {
    'body': b'POST ' + CHAT.encode() + b' HTTP/1.1\r\nHost: x\r\n'
    b'X-Organisation: sierra\r\nContent-Length: 100\r\n\r\n{',
    'head': b'POST ' + CHAT.encode() + b' HTTP/1.1\r\nHost: x\r\nX-Orga',
    'nothing': b'',
}


@pytest.mark.parametrize('name', SLOW)
async def test_slow_input(name: str) -> None:
    limit = timedelta(seconds=0.2)
    async with open_bench(read_timeout=limit) as bench:
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', bench.server.port
        )
        writer.write(SLOW[name])
        async with asyncio.timeout(2):
            told = await reader.read()
        assert told.startswith(b'HTTP/1.1 408 ')
        error = json.loads(told.partition(b'\r\n\r\n')[2])['error']
        assert error['type'] == 'failed'
        writer.close()
        assert (await ask(bench.session, bench.url, 'hello')).whole


async def test_fields_and_parts_of_the_common_shape_are_taken() -> None:
    parts = [{'type': 'text', 'text': 'hel'}, {'type': 'text', 'text': 'lo'}]
    async with open_bench() as bench:
        told = await ask(
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
        assert told.whole
        assert told.usage is not None
        assert told.usage['completion_tokens'] == 4
        asked = bench.placer.asked[0]
        assert (asked.priority, asked.model) == (0, 'draft@1+quito')


async def test_chat_without_id_is_known_by_its_opening() -> None:
    opening = messages('hello')
    later = [*opening, {'role': 'assistant', 'content': 'hi'}, *messages('x')]
    async with open_bench() as bench:
        for headers, sent in (
            ({}, opening),
            ({}, later),
            ({'X-Organisation': 'costa'}, later),
            ({}, messages('other')),
        ):
            await ask(
                bench.session, bench.url, '', headers=headers, messages=sent
            )
        chats = [asked.chat for asked in bench.placer.asked]
        assert chats[0] == chats[1]
        assert len(set(chats)) == 3


async def test_placement_token_names_the_upstream_of_its_organisation() -> None:
    async with open_bench() as bench:
        told = await ask(bench.session, bench.url, 'hello')
        token = {'X-Placement': told.headers['X-Placement']}
        await ask(bench.session, bench.url, 'hello', headers=token)
        await ask(
            bench.session,
            bench.url,
            'hello',
            headers={**token, 'X-Organisation': 'costa'},
        )
        preferred = [asked.preferred for asked in bench.placer.asked]
        assert preferred == ['', 'e0', '']
