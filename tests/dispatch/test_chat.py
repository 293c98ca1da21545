import asyncio
from typing import Any

import pytest

from bergamotshed.reasons import Reason, Refusal
from bergamotshed.routing.types import Outcome
from tests.callers.chat_client import ORGANISATION, Told, ask, messages
from tests.dispatch.support import Bench, open_bench
from tests.standins.answers import answer_text
from tests.standins.runs import EngineOptions
from tests.waiting import until

TWO = (EngineOptions('e0'), EngineOptions('e1'))
QUESTION = 'when does my washer arrive tokens=12'
MARKED = {'X-At-Most-Once': '1', 'Idempotency-Key': 'k1'}


def runs(bench: Bench) -> list[dict[str, Any]]:
    """Return the stand-ins' own record of what ran."""
    return [run for engine in bench.engines for run in engine.ran()['runs']]


def assert_whole(told: Told, content: str = QUESTION) -> None:
    assert (told.status, told.error, told.whole) == (200, None, True)
    assert told.text == answer_text(messages(content))


async def assert_released(bench: Bench) -> None:
    await until(lambda: not bench.placer.held, 3)


@pytest.mark.parametrize('stream', [True, False])
async def test_chat_comes_back_whole(stream: bool) -> None:
    async with open_bench() as bench:
        told = await ask(bench.session, bench.url, QUESTION, stream=stream)
        assert_whole(told)
        assert told.usage is not None
        assert told.usage['completion_tokens'] == 12
        assert 'cached_tokens' in told.usage['prompt_tokens_details']
        assert told.headers['X-Placement']
        assert not bench.placer.held


# name: (fault of e0, its options, runs that are allowed in all)
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
async def test_chat_is_whole_in_spite_of(name: str) -> None:
    fault, options, most_runs = FAULTS[name]
    async with open_bench(TWO) as bench:
        bench.engines[0].faults.set(fault, **options)
        told = await ask(bench.session, bench.url, QUESTION)
        assert_whole(told)
        assert len(runs(bench)) <= most_runs
        await assert_released(bench)
        bench.engines[0].faults.clear()


async def test_chat_goes_on_elsewhere_after_a_crash() -> None:
    slow = EngineOptions('e0', token_s=0.02)
    async with open_bench((slow, EngineOptions('e1'))) as bench:
        asking = asyncio.create_task(ask(bench.session, bench.url, QUESTION))
        await until(lambda: runs(bench))
        await asyncio.sleep(0.05)
        bench.engines[0].on_fault({'fault': 'crash'})
        assert_whole(await asking)
        resumed = bench.engines[1].ran()['runs'][0]
        assert resumed['start'] > 0
        assert resumed['attempt'] == 2


@pytest.mark.parametrize('dead', [('d0',), ('d0', 'd1')])
async def test_dead_engines_cost_only_an_attempt(dead: tuple[str, ...]) -> None:
    async with open_bench(dead=dead) as bench:
        assert_whole(await ask(bench.session, bench.url, QUESTION))
        unreachable = [(name, Outcome.UNREACHABLE) for name in dead]
        assert bench.placer.outcomes == [*unreachable, ('e0', Outcome.DONE)]


async def test_a_cut_stream_never_looks_complete() -> None:
    async with open_bench() as bench:
        bench.engines[0].faults.set('break', after=3)
        told = await ask(bench.session, bench.url, QUESTION)
        assert told.status == 200
        assert told.text and told.text != answer_text(messages(QUESTION))
        assert not told.done and told.usage is None
        assert told.error is not None
        assert told.error['type'] == 'outcome unknown'


# name: (fault of each engine, options, HTTP status, type of the answer)
REFUSALS: dict[str, tuple[str, dict[str, Any], int, str]] = {
    'all refuse': ('refuse', {}, 503, 'refused, not run'),
    'all cut': ('cut', {}, 502, 'outcome unknown'),
}


@pytest.mark.parametrize('name', REFUSALS)
async def test_given_up_requests_are_answered(name: str) -> None:
    fault, options, status, kind = REFUSALS[name]
    async with open_bench(TWO) as bench:
        for engine in bench.engines:
            engine.faults.set(fault, **options)
        told = await ask(bench.session, bench.url, QUESTION)
        assert told.error is not None
        assert (told.status, told.error['type']) == (status, kind)
        assert int(told.headers['Retry-After']) >= 1
        assert not runs(bench)
        await assert_released(bench)


async def test_deadline_ends_a_chat() -> None:
    async with open_bench((EngineOptions('e0', token_s=0.05),)) as bench:
        told = await ask(
            bench.session, bench.url, QUESTION, headers={'X-Deadline-Ms': '200'}
        )
        assert told.error is not None
        assert told.error['reason'] == 'deadline'
        assert told.error['type'] == 'outcome unknown'
        assert not told.done
        await until(lambda: runs(bench)[0]['ended'] == 'cancelled')


async def test_deadline_before_the_first_token_leaves_it_open() -> None:
    async with open_bench() as bench:
        await ask(bench.session, bench.url, 'warm')
        bench.engines[0].faults.set('freeze')
        told = await ask(
            bench.session, bench.url, QUESTION, headers={'X-Deadline-Ms': '100'}
        )
        assert told.error is not None
        assert (told.status, told.error['type']) == (502, 'outcome unknown')
        bench.engines[0].faults.clear()


@pytest.mark.parametrize('stream', [True, False])
async def test_a_caller_that_leaves_stops_its_run(stream: bool) -> None:
    slow = EngineOptions('e0', token_s=0.02)
    async with open_bench((slow,)) as bench:
        asking = asyncio.create_task(
            ask(bench.session, bench.url, 'x tokens=200', stream=stream)
        )
        await until(lambda: runs(bench))
        asking.cancel()
        await until(lambda: runs(bench)[0]['ended'])
        await assert_released(bench)


# name: (fault of e0, its options, type of the answer or '', runs in all)
MARKED_FAULTS: dict[str, tuple[str, dict[str, Any], str, int]] = {
    'no fault': ('late', {'seconds': 0}, '', 1),
    'cut once': ('break', {'after': 3, 'count': 1}, '', 1),
    'cut again and again': ('break', {'after': 3}, 'outcome unknown', 1),
    'cut at once': ('cut', {}, 'outcome unknown', 0),
    'frozen': ('freeze', {}, 'outcome unknown', 0),
    'refused': ('refuse', {}, '', 1),
}


@pytest.mark.parametrize('key', ['k1', ''])
@pytest.mark.parametrize('name', MARKED_FAULTS)
async def test_marked_chat_runs_at_most_once(name: str, key: str) -> None:
    fault, options, kind, count = MARKED_FAULTS[name]
    async with open_bench(TWO) as bench:
        bench.engines[0].faults.set(fault, **options)
        headers = {'X-At-Most-Once': '1', 'Idempotency-Key': key}
        told = await ask(bench.session, bench.url, QUESTION, headers=headers)
        assert (told.error or {'type': ''})['type'] == kind
        bench.engines[0].faults.clear()
        assert len(runs(bench)) <= count
        assert not bench.claims.voided


async def test_repeat_of_a_marked_chat_gets_the_kept_answer() -> None:
    async with open_bench(TWO) as bench:
        first = await ask(bench.session, bench.url, QUESTION, headers=MARKED)
        await until(lambda: bench.claims.kept['k1'])
        second = await ask(bench.session, bench.url, QUESTION, headers=MARKED)
        assert_whole(second)
        assert second.usage == first.usage
        assert len(runs(bench)) == 1


async def test_marked_chat_goes_on_when_its_caller_leaves() -> None:
    slow = EngineOptions('e0', token_s=0.02)
    async with open_bench((slow,)) as bench:
        asking = asyncio.create_task(
            ask(bench.session, bench.url, QUESTION, headers=MARKED)
        )
        await until(lambda: runs(bench))
        asking.cancel()
        assert await until(lambda: bench.claims.kept['k1'])
        assert_whole(
            await ask(bench.session, bench.url, QUESTION, headers=MARKED)
        )
        assert len(runs(bench)) == 1


async def test_refused_marked_chat_gives_its_key_back() -> None:
    async with open_bench() as bench:
        bench.engines[0].faults.set('refuse')
        told = await ask(bench.session, bench.url, QUESTION, headers=MARKED)
        assert told.error is not None
        assert told.error['type'] == 'refused, not run'
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
        bench.claims.refused = Refusal(reason)
        told = await ask(bench.session, bench.url, QUESTION, headers=MARKED)
        assert told.error is not None
        assert (told.status, told.error['type']) == CLAIM_REFUSALS[reason]
        assert not runs(bench)


# name: (headers, fields, status, reason)
WRONG: dict[str, tuple[dict[str, str], dict[str, Any], int, str]] = {
    'organisation': (
        {'X-Organisation': 'nobody'},
        {},
        401,
        'unknown_organisation',
    ),
    'model': ({}, {'model': 'none'}, 404, 'unknown_model'),
    'adapter': ({}, {'model': 'draft+none'}, 404, 'unknown_model'),
}


@pytest.mark.parametrize('name', WRONG)
async def test_calls_that_the_configuration_rules_out(name: str) -> None:
    headers, fields, status, reason = WRONG[name]
    async with open_bench() as bench:
        told = await ask(
            bench.session,
            bench.url,
            QUESTION,
            headers={**ORGANISATION, **headers},
            **fields,
        )
        assert told.error is not None
        assert (told.status, told.error['reason']) == (status, reason)
        assert told.error['type'] == 'failed'
        assert not bench.placer.asked
