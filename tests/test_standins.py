"""The stand-in engine: its answers, streams, faults, crashes and fencing."""

import json
from collections.abc import Iterator
from typing import Any

import pytest
from aiohttp import ClientError, ClientSession
from aiohttp.test_utils import TestServer

from .standins.answers import answer_text
from .standins.engine import EngineStandIn
from .standins.runs import EngineOptions
from .waiting import until

MESSAGES = [{'role': 'user', 'content': 'where is my washer tokens=12 key=k1'}]


def request_body(attempt: int = 1, **fields: Any) -> dict[str, Any]:
    return {
        'request': 'r1',
        'attempt': attempt,
        'model': 'm',
        'messages': MESSAGES,
        **fields,
    }


def events(text: str) -> Iterator[dict[str, Any]]:
    for line in text.splitlines():
        if line.startswith('data: {'):
            yield json.loads(line.removeprefix('data: '))


async def complete(
    session: ClientSession, **content: Any
) -> list[dict[str, Any]]:
    text = b''
    try:
        async with session.post(
            '/v1/chat/completions', json=request_body(**content)
        ) as answer:
            async for line in answer.content:
                text += line
    except ClientError:
        pass
    return list(events(text.decode()))


def joined_text(listed_events: list[dict[str, Any]]) -> str:
    return ''.join(event.get('text', '') for event in listed_events)


@pytest.fixture
async def engine() -> Any:
    stand_in = EngineStandIn(EngineOptions(grace_s=0.05, down_s=0.05))
    async with (
        TestServer(stand_in.create_app()) as server,
        ClientSession(server.make_url('/')) as session,
    ):
        yield stand_in, session


async def test_answer_is_complete_and_cached_for_the_repeat(
    engine: Any,
) -> None:
    stand_in, session = engine
    first = await complete(session)
    assert joined_text(first) == answer_text(MESSAGES)
    assert first[-1]['finish'] == 'stop'
    repeated = await complete(session, attempt=2)
    assert repeated[-1]['cached'] == repeated[-1]['prompt'] == 6
    assert [run['key'] for run in stand_in.run_record()['runs']] == ['k1', 'k1']


async def test_broken_stream_can_be_reattached_or_resumed(
    engine: Any,
) -> None:
    stand_in, session = engine
    stand_in.faults.set('break', after=5, count=1)
    first_events = await complete(session)
    assert len(first_events) == 5
    async with session.get('/v1/requests/r1/stream?from=5') as answer:
        remaining_events = list(events(await answer.text()))
    assert joined_text(first_events) + joined_text(
        remaining_events
    ) == answer_text(MESSAGES)
    resume = {'offset': 5, 'text': joined_text(first_events)}
    resumed = await complete(session, attempt=2, resume=resume)
    assert joined_text(resumed) == joined_text(remaining_events)


@pytest.mark.parametrize(
    ('mode', 'sent'), [('duplicate', 24), ('stale', 24), ('reorder', 12)]
)
async def test_chunk_faults_change_the_stream(
    engine: Any, mode: str, sent: int
) -> None:
    stand_in, session = engine
    stand_in.faults.set('chunks', mode=mode)
    chunks = [event for event in await complete(session) if 'text' in event]
    assert len(chunks) == sent
    assert joined_text(chunks) != answer_text(MESSAGES)


async def test_abandoned_stream_is_cancelled_after_the_grace_period(
    engine: Any,
) -> None:
    stand_in, session = engine
    stand_in.faults.set('break', after=1, count=1)
    messages = [{'role': 'user', 'content': 'x tokens=250'}]
    await complete(session, messages=messages)
    await until(lambda: not stand_in.run_record()['in_flight'])
    assert stand_in.run_record()['runs'][0]['ended'] == 'left'


async def test_a_poison_request_crashes_the_engine_and_changes_the_boot_id(
    engine: Any,
) -> None:
    stand_in, session = engine
    boot = stand_in.boot
    poison = [{'role': 'user', 'content': 'a poison pill'}]
    assert await complete(session, messages=poison) == []
    assert stand_in.boot != boot
    assert stand_in.run_record()['crashes'][0]['request'] == 'r1'


@pytest.mark.parametrize(('fault', 'status'), [('obey', 409), ('ignore', 200)])
async def test_orders_with_old_fencing_tokens(
    engine: Any, fault: str, status: int
) -> None:
    stand_in, session = engine
    await session.post('/faults', json={'fault': fault})
    for fence, expected in ((7, 200), (6, status)):
        order = {'kind': 'role', 'role': f'r{fence}', 'fence': fence}
        async with session.post('/v1/orders', json=order) as answer:
            assert answer.status == expected
    assert stand_in.run_record()['role'] == ('r7' if status == 409 else 'r6')
