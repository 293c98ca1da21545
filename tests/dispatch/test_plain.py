import asyncio
from typing import Any

import pytest
from aiohttp import ClientResponse

from bergamotshed.reasons import Reason, Refusal
from tests.callers.chat_client import ORGANISATION
from tests.dispatch.support import Bench, open_bench
from tests.waiting import until

KEY = {'Idempotency-Key': 'k1'}
AT_MOST_ONCE = {'X-At-Most-Once': '1'}


async def call(
    bench: Bench, name: str, headers: dict[str, str] | None = None, **body: Any
) -> tuple[int, dict[str, Any], ClientResponse]:
    async with bench.session.post(
        f'{bench.url}/v1/services/slots/{name}',
        json=body,
        headers={**ORGANISATION, **(headers or {})},
    ) as response:
        return response.status, await response.json(), response


def runs(bench: Bench) -> list[dict[str, Any]]:
    return [
        run
        for plain in bench.plain_services
        for run in plain.run_record()['runs']
    ]


async def test_call_is_forwarded() -> None:
    async with open_bench(plains=1) as bench:
        status, body, response = await call(bench, 'read', KEY, programme=3)
        assert (status, body['echo']) == (200, {'programme': 3})
        assert response.headers['X-Request-Id']
        run = runs(bench)[0]
        assert (run['key'], run['organisation']) == ('k1', 'sierra')


# name: (fault of p0, call, headers, status, type or '', most runs, voided)
FAULTS: dict[str, tuple[str, str, dict[str, str], int, str, int, list[str]]] = {
    'lost': ('lost', 'read', {}, 200, '', 2, []),
    'cut': ('cut', 'read', {}, 200, '', 1, []),
    'refused': ('refuse', 'read', {}, 200, '', 1, []),
    'at most once, lost': (
        'lost',
        'read',
        AT_MOST_ONCE,
        502,
        'outcome unknown',
        1,
        [],
    ),
    'at most once, cut': (
        'cut',
        'read',
        AT_MOST_ONCE,
        502,
        'outcome unknown',
        0,
        [],
    ),
    'at most once, refused': ('refuse', 'read', AT_MOST_ONCE, 200, '', 1, []),
    'booking, lost': ('lost', 'book', KEY, 502, 'outcome unknown', 1, []),
    'booking, cut': ('cut', 'book', KEY, 502, 'outcome unknown', 0, []),
    'booking, refused': ('refuse', 'book', KEY, 200, '', 1, []),
    'booking, lost, no key': (
        'lost',
        'book',
        {},
        502,
        'outcome unknown',
        1,
        [],
    ),
}


@pytest.mark.parametrize('name', FAULTS)
async def test_calls_despite_a_fault(name: str) -> None:
    fault, call_name, headers, status, error_type, max_runs, voided = FAULTS[
        name
    ]
    async with open_bench(plains=2) as bench:
        bench.plain_services[0].faults.set(fault)
        actual_status, body, _ = await call(bench, call_name, headers)
        assert actual_status == status
        assert body.get('error', {'type': ''})['type'] == error_type
        assert len(runs(bench)) <= max_runs
        assert bench.claims.voided == voided
        assert not bench.placer.grants


async def test_booking_that_all_refuse_voids_its_claim() -> None:
    async with open_bench(plains=1) as bench:
        bench.plain_services[0].faults.set('refuse')
        status, body, response = await call(bench, 'book', KEY)
        assert (status, body['error']['type']) == (503, 'refused, not run')
        assert response.headers['Retry-After']
        assert bench.claims.voided == ['k1']
        assert not runs(bench)


async def test_repeat_of_a_booking_gets_the_stored_answer() -> None:
    async with open_bench(plains=2) as bench:
        first = await call(bench, 'book', KEY, slot=4)
        await until(lambda: bench.claims.answers['k1'])
        second = await call(bench, 'book', KEY, slot=4)
        assert first[:2] == second[:2]
        assert len(runs(bench)) == 1


async def test_booking_continues_when_its_caller_disconnects() -> None:
    async with open_bench(plains=1) as bench:
        call_task = asyncio.create_task(call(bench, 'book', KEY, seconds=0.2))
        await until(lambda: runs(bench))
        call_task.cancel()
        assert await until(lambda: bench.claims.answers['k1'])
        assert len(runs(bench)) == 1


async def test_booking_at_its_deadline_has_unknown_outcome() -> None:
    async with open_bench(plains=2) as bench:
        headers = {**KEY, 'X-Deadline-Ms': '100'}
        status, body, _ = await call(bench, 'book', headers, seconds=0.4)
        assert (status, body['error']['type']) == (502, 'outcome unknown')
        assert len(runs(bench)) == 1


# reason: (status, type)
CLAIM_REFUSALS = {
    Reason.CLAIM_TAKEN: (409, 'outcome unknown'),
    Reason.CLAIM_UNAVAILABLE: (503, 'refused, not run'),
}


@pytest.mark.parametrize('reason', CLAIM_REFUSALS)
async def test_refused_claims(reason: Reason) -> None:
    async with open_bench(plains=1) as bench:
        bench.claims.refusal = Refusal(reason)
        status, body, _ = await call(bench, 'book', KEY)
        assert (status, body['error']['type']) == CLAIM_REFUSALS[reason]
        assert not runs(bench)


@pytest.mark.parametrize(
    ('headers', 'status'),
    [({'X-Organisation': 'costa'}, 403), ({'X-Organisation': 'x'}, 401)],
)
async def test_calls_without_permission(
    headers: dict[str, str], status: int
) -> None:
    async with open_bench(plains=1) as bench:
        assert (await call(bench, 'read', headers))[0] == status
        assert not runs(bench)
