"""Promise 2: each caller gets the whole answer to its own request."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import pytest
import pytest_asyncio

from ..caller import REFUSED, UNKNOWN, Reply
from ..harness import Cluster, ClusterPlan, running_cluster

pytestmark = [
    pytest.mark.processes,
    pytest.mark.asyncio(loop_scope='module'),
]
PLAN = ClusterPlan({'drafting': 3}, idle_timeout='700ms')
ORGANISATIONS = ('quito-central', 'sierra-norte')
CHATS = 8


def chunks(mode: str) -> dict[str, Any]:
    return {'fault': 'chunks', 'mode': mode}


def broken(after: int, **more: Any) -> dict[str, Any]:
    return {'fault': 'break', 'after': after, **more}


STREAMS = '/v1/chat'
LATE = {'fault': 'late', 'seconds': 0.3, 'path': STREAMS}
LOST = {'fault': 'lost', 'path': STREAMS, 'count': 2}
REFUSE = {'fault': 'refuse', 'path': STREAMS, 'count': 3}

HEALED = {
    'nothing': [],
    'duplicate': [chunks('duplicate')],
    'reordered': [chunks('reorder')],
    'stale attempt': [chunks('stale')],
    'foreign request': [chunks('foreign')],
    'late': [LATE],
    'lost': [LOST],
    'cut': [broken(3, count=4)],
    'cut at once': [broken(0, count=4)],
    'cut and duplicate': [broken(3, count=4), chunks('duplicate')],
    'cut and reordered': [broken(3, count=4), chunks('reorder')],
    'cut and stale': [broken(3, count=4), chunks('stale')],
    'cut and late': [broken(3, count=4), LATE],
    'cut and refused': [broken(3, count=2), REFUSE],
    'lost and foreign': [LOST, chunks('foreign')],
}
NOT_HEALED = {
    'always cut': [broken(3)],
    'always cut, duplicate': [broken(3), chunks('duplicate')],
    'silent': [{'fault': 'stall', 'after': 3}],
}


@pytest_asyncio.fixture(loop_scope='module', scope='module')
async def cluster(
    tmp_path_factory: pytest.TempPathFactory,
) -> AsyncIterator[Cluster]:
    async with running_cluster(
        PLAN, tmp_path_factory.mktemp('whole')
    ) as started:
        yield started


async def assert_applied(
    cluster: Cluster, faults: list[dict[str, Any]]
) -> None:
    """Check that each fault befell at least one engine."""
    applied: set[str] = set()
    for name in cluster.engine_names:
        applied |= (await cluster.fetch_record(name))['faults'].keys()
    assert {fault['fault'] for fault in faults} <= applied


async def replies_under(
    cluster: Cluster, faults: list[dict[str, Any]], mark: str, **options: Any
) -> list[Reply]:
    """Send chats whose ids are the same in two organisations."""
    for name in cluster.engine_names:
        for fault in faults:
            await cluster.set_fault(name, **fault)
    calls = [
        cluster.chat(
            number % PLAN.routers + 1,
            f'{organisation} asks {mark} {number}',
            organisation=organisation,
            chat_id=f'chat-{number}',
            stream=number % 4 != 0,
            **options,
        )
        for number in range(CHATS)
        for organisation in ORGANISATIONS
    ]
    try:
        replies = await asyncio.gather(*calls)
        await assert_applied(cluster, faults)
        return list(replies)
    finally:
        for name in cluster.engine_names:
            await cluster.clear_faults(name)


@pytest.mark.parametrize('case', HEALED)
async def test_answers_are_whole(cluster: Cluster, case: str) -> None:
    replies = await replies_under(cluster, HEALED[case], case)
    assert [r for r in replies if not r.is_complete] == []


@pytest.mark.parametrize('case', NOT_HEALED)
async def test_a_cut_answer_never_looks_complete(
    cluster: Cluster, case: str
) -> None:
    replies = await replies_under(
        cluster, NOT_HEALED[case], case, deadline_ms='2500'
    )
    assert [r for r in replies if not r.is_correct_so_far] == []
    assert [r for r in replies if r.is_finished or r.is_broken] == []
    ran = {run['digest'] for run in await cluster.fetch_runs()}
    # One whose turn never came is refused; all that ran are in doubt.
    assert {r.type for r in replies if r.digest in ran} == {UNKNOWN}
    assert {r.type for r in replies if r.digest not in ran} <= {REFUSED}
