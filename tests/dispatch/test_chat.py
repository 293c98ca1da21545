import asyncio
from typing import Any

import pytest

from bergamotshed.dispatch.chat_run import MAX_ATTEMPTS
from bergamotshed.reasons import Reason, Refusal
from bergamotshed.routing.types import Outcome
from tests.callers.chat_client import (
    ORGANISATION,
    ChatResponse,
    messages,
    send_chat,
)
from tests.dispatch.support import Bench, open_bench
from tests.standins.answers import answer_text
from tests.standins.runs import EngineOptions
from tests.waiting import until

TWO_ENGINES = (EngineOptions('e0'), EngineOptions('e1'))
QUESTION = 'when does my washer arrive tokens=12'
AT_MOST_ONCE = {'X-At-Most-Once': '1', 'Idempotency-Key': 'k1'}


def runs(bench: Bench) -> list[dict[str, Any]]:
    """Return all runs that the stand-in engines recorded."""
    return [
        run for engine in bench.engines for run in engine.run_record()['runs']
    ]


def assert_complete(answer: ChatResponse, content: str = QUESTION) -> None:
    assert (answer.status, answer.error, answer.is_complete) == (
        200,
        None,
        True,
    )
    assert answer.text == answer_text(messages(content))


async def assert_released(bench: Bench) -> None:
    await until(lambda: not bench.placer.grants, 3)


@pytest.mark.parametrize('stream', [True, False])
async def test_chat_is_answered_completely(stream: bool) -> None:
    async with open_bench() as bench:
        answer = await send_chat(
            bench.session, bench.url, QUESTION, stream=stream
        )
        assert_complete(answer)
        assert answer.usage is not None
        assert answer.usage['completion_tokens'] == 12
        assert 'cached_tokens' in answer.usage['prompt_tokens_details']
        assert answer.headers['X-Placement']
        assert not bench.placer.grants


# name: (fault of e0, its options, most runs on all engines)
FAULTS: dict[str, tuple[str, dict[str, Any], int]] = {
    'cut once mid-stream': ('break', {'after': 3, 'count': 1}, 1),
    'cut twice mid-stream': ('break', {'after': 3, 'count': 2}, 1),
    'cut again and again': ('break', {'after': 3}, 2),
    'duplicates': ('chunks', {'mode': 'duplicate'}, 1),
    'reordered': ('chunks', {'mode': 'reorder'}, 1),
    'late chunks of another attempt': ('chunks', {'mode': 'stale'}, 1),
    'chunks of another request': ('chunks', {'mode': 'foreign'}, 1),
    'silent mid-stream': ('stall', {'after': 3}, 2),
    'refused': ('refuse', {}, 1),
    'cut before it ran': ('cut', {}, 1),
    'frozen': ('freeze', {}, 1),
}


@pytest.mark.parametrize('name', FAULTS)
async def test_chat_is_complete_despite_a_fault(name: str) -> None:
    fault, options, max_runs = FAULTS[name]
    async with open_bench(TWO_ENGINES) as bench:
        bench.engines[0].faults.set(fault, **options)
        answer = await send_chat(bench.session, bench.url, QUESTION)
        assert_complete(answer)
        assert len(runs(bench)) <= max_runs
        await assert_released(bench)
        bench.engines[0].faults.clear()


async def test_chat_resumes_on_another_engine_after_a_crash() -> None:
    slow = EngineOptions('e0', token_s=0.02)
    async with open_bench((slow, EngineOptions('e1'))) as bench:
        chat_task = asyncio.create_task(
            send_chat(bench.session, bench.url, QUESTION)
        )
        await until(lambda: runs(bench))
        await asyncio.sleep(0.05)
        bench.engines[0].on_fault({'fault': 'crash'})
        assert_complete(await chat_task)
        resumed = bench.engines[1].run_record()['runs'][0]
        assert resumed['start'] > 0
        assert resumed['attempt'] == 2


@pytest.mark.parametrize('dead', [('d0',), ('d0', 'd1')])
async def test_a_dead_engine_costs_only_one_attempt(
    dead: tuple[str, ...],
) -> None:
    async with open_bench(dead=dead) as bench:
        assert_complete(await send_chat(bench.session, bench.url, QUESTION))
        unreachable = [(name, Outcome.UNREACHABLE) for name in dead]
        assert bench.placer.outcomes == [*unreachable, ('e0', Outcome.DONE)]


async def test_the_reason_tells_how_the_last_attempt_ended() -> None:
    dead = tuple(f'd{number}' for number in range(MAX_ATTEMPTS))
    async with open_bench(dead=dead) as bench:
        answer = await send_chat(bench.session, bench.url, QUESTION)
        assert answer.error is not None
        assert answer.error['type'] == 'refused, not run'
        assert answer.error['reason'] == 'engine_unreached'


async def test_a_cut_stream_never_looks_complete() -> None:
    async with open_bench() as bench:
        bench.engines[0].faults.set('break', after=3)
        answer = await send_chat(bench.session, bench.url, QUESTION)
        assert answer.status == 200
        assert answer.text and answer.text != answer_text(messages(QUESTION))
        assert not answer.is_done and answer.usage is None
        assert answer.error is not None
        assert answer.error['type'] == 'outcome unknown'


# name: (fault of each engine, options, HTTP status, type of the error)
REFUSALS: dict[str, tuple[str, dict[str, Any], int, str]] = {
    'all refuse': ('refuse', {}, 503, 'refused, not run'),
    'all cut': ('cut', {}, 502, 'outcome unknown'),
}


@pytest.mark.parametrize('name', REFUSALS)
async def test_failed_requests_get_an_error_answer(name: str) -> None:
    fault, options, status, error_type = REFUSALS[name]
    async with open_bench(TWO_ENGINES) as bench:
        for engine in bench.engines:
            engine.faults.set(fault, **options)
        answer = await send_chat(bench.session, bench.url, QUESTION)
        assert answer.error is not None
        assert (answer.status, answer.error['type']) == (status, error_type)
        assert int(answer.headers['Retry-After']) >= 1
        assert not runs(bench)
        await assert_released(bench)


async def test_deadline_ends_a_chat() -> None:
    async with open_bench((EngineOptions('e0', token_s=0.05),)) as bench:
        answer = await send_chat(
            bench.session, bench.url, QUESTION, headers={'X-Deadline-Ms': '200'}
        )
        assert answer.error is not None
        assert answer.error['reason'] == 'deadline'
        assert answer.error['type'] == 'outcome unknown'
        assert not answer.is_done
        await until(lambda: runs(bench)[0]['ended'] == 'cancelled')


async def test_deadline_before_the_first_token_has_unknown_outcome() -> None:
    async with open_bench() as bench:
        await send_chat(bench.session, bench.url, 'warm')
        bench.engines[0].faults.set('freeze')
        answer = await send_chat(
            bench.session, bench.url, QUESTION, headers={'X-Deadline-Ms': '100'}
        )
        assert answer.error is not None
        assert (answer.status, answer.error['type']) == (502, 'outcome unknown')
        bench.engines[0].faults.clear()


@pytest.mark.parametrize('stream', [True, False])
async def test_a_disconnected_caller_cancels_its_run(stream: bool) -> None:
    slow = EngineOptions('e0', token_s=0.02)
    async with open_bench((slow,)) as bench:
        chat_task = asyncio.create_task(
            send_chat(bench.session, bench.url, 'x tokens=200', stream=stream)
        )
        await until(lambda: runs(bench))
        chat_task.cancel()
        await until(lambda: runs(bench)[0]['ended'])
        await assert_released(bench)


# name: (fault of e0, its options, type of the error or '', most runs on
# all engines)
AT_MOST_ONCE_FAULTS: dict[str, tuple[str, dict[str, Any], str, int]] = {
    'no fault': ('late', {'seconds': 0}, '', 1),
    'cut once': ('break', {'after': 3, 'count': 1}, '', 1),
    'cut again and again': ('break', {'after': 3}, 'outcome unknown', 1),
    'cut at once': ('cut', {}, 'outcome unknown', 0),
    'frozen': ('freeze', {}, 'outcome unknown', 0),
    'refused': ('refuse', {}, '', 1),
}


@pytest.mark.parametrize('key', ['k1', ''])
@pytest.mark.parametrize('name', AT_MOST_ONCE_FAULTS)
async def test_at_most_once_chat_never_runs_twice(name: str, key: str) -> None:
    fault, options, error_type, max_runs = AT_MOST_ONCE_FAULTS[name]
    async with open_bench(TWO_ENGINES) as bench:
        bench.engines[0].faults.set(fault, **options)
        headers = {'X-At-Most-Once': '1', 'Idempotency-Key': key}
        answer = await send_chat(
            bench.session, bench.url, QUESTION, headers=headers
        )
        assert (answer.error or {'type': ''})['type'] == error_type
        bench.engines[0].faults.clear()
        assert len(runs(bench)) <= max_runs
        assert not bench.claims.voided


async def test_repeat_of_an_at_most_once_chat_gets_the_stored_answer() -> None:
    async with open_bench(TWO_ENGINES) as bench:
        first = await send_chat(
            bench.session, bench.url, QUESTION, headers=AT_MOST_ONCE
        )
        await until(lambda: bench.claims.answers['k1'])
        second = await send_chat(
            bench.session, bench.url, QUESTION, headers=AT_MOST_ONCE
        )
        assert_complete(second)
        assert second.usage == first.usage
        assert len(runs(bench)) == 1


async def test_at_most_once_chat_continues_when_its_caller_disconnects() -> (
    None
):
    slow = EngineOptions('e0', token_s=0.02)
    async with open_bench((slow,)) as bench:
        chat_task = asyncio.create_task(
            send_chat(bench.session, bench.url, QUESTION, headers=AT_MOST_ONCE)
        )
        await until(lambda: runs(bench))
        chat_task.cancel()
        assert await until(lambda: bench.claims.answers['k1'])
        assert_complete(
            await send_chat(
                bench.session, bench.url, QUESTION, headers=AT_MOST_ONCE
            )
        )
        assert len(runs(bench)) == 1


async def test_refused_at_most_once_chat_voids_its_claim() -> None:
    async with open_bench() as bench:
        bench.engines[0].faults.set('refuse')
        answer = await send_chat(
            bench.session, bench.url, QUESTION, headers=AT_MOST_ONCE
        )
        assert answer.error is not None
        assert answer.error['type'] == 'refused, not run'
        assert bench.claims.voided == ['k1']


# reason: (status, type)
CLAIM_REFUSALS = {
    Reason.CLAIM_TAKEN: (409, 'outcome unknown'),
    Reason.CLAIM_UNAVAILABLE: (503, 'refused, not run'),
    Reason.KEY_EXPIRED: (409, 'failed'),
}


@pytest.mark.parametrize('reason', CLAIM_REFUSALS)
async def test_refused_claims(reason: Reason) -> None:
    async with open_bench() as bench:
        bench.claims.refusal = Refusal(reason)
        answer = await send_chat(
            bench.session, bench.url, QUESTION, headers=AT_MOST_ONCE
        )
        assert answer.error is not None
        assert (answer.status, answer.error['type']) == CLAIM_REFUSALS[reason]
        assert not runs(bench)


# name: (headers, fields, status, reason)
INVALID_CALLS: dict[str, tuple[dict[str, str], dict[str, Any], int, str]] = {
    'organisation': (
        {'X-Organisation': 'nobody'},
        {},
        401,
        'unknown_organisation',
    ),
    'model': ({}, {'model': 'none'}, 404, 'unknown_model'),
    'adapter': ({}, {'model': 'draft+none'}, 404, 'unknown_model'),
}


@pytest.mark.parametrize('name', INVALID_CALLS)
async def test_calls_that_the_configuration_does_not_allow(name: str) -> None:
    headers, fields, status, reason = INVALID_CALLS[name]
    async with open_bench() as bench:
        answer = await send_chat(
            bench.session,
            bench.url,
            QUESTION,
            headers={**ORGANISATION, **headers},
            **fields,
        )
        assert answer.error is not None
        assert (answer.status, answer.error['reason']) == (status, reason)
        assert answer.error['type'] == 'failed'
        assert not bench.placer.requests
