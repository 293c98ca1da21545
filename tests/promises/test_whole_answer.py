"""Promise 2: each caller gets the complete answer to its own request."""

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
CHAT_COUNT = 8


def chunk_fault(mode: str) -> dict[str, Any]:
    return {'fault': 'chunks', 'mode': mode}


def break_fault(after: int, **more: Any) -> dict[str, Any]:
    return {'fault': 'break', 'after': after, **more}


CHATS_PATH = '/v1/chat'
LATE = {'fault': 'late', 'seconds': 0.3, 'path': CHATS_PATH}
LOST = {'fault': 'lost', 'path': CHATS_PATH, 'count': 2}
REFUSE = {'fault': 'refuse', 'path': CHATS_PATH, 'count': 3}

RECOVERABLE = {
    'nothing': [],
    'duplicate': [chunk_fault('duplicate')],
    'reordered': [chunk_fault('reorder')],
    'stale attempt': [chunk_fault('stale')],
    'foreign request': [chunk_fault('foreign')],
    'late': [LATE],
    'lost': [LOST],
    'cut': [break_fault(3, count=4)],
    'cut at once': [break_fault(0, count=4)],
    'cut and duplicate': [break_fault(3, count=4), chunk_fault('duplicate')],
    'cut and reordered': [break_fault(3, count=4), chunk_fault('reorder')],
    'cut and stale': [break_fault(3, count=4), chunk_fault('stale')],
    'cut and late': [break_fault(3, count=4), LATE],
    'cut and refused': [break_fault(3, count=2), REFUSE],
    'lost and foreign': [LOST, chunk_fault('foreign')],
}
UNRECOVERABLE = {
    'always cut': [break_fault(3)],
    'always cut, duplicate': [break_fault(3), chunk_fault('duplicate')],
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
    """Check that each fault was applied at some engine."""
    applied: set[str] = set()
    for name in cluster.engine_names:
        applied |= (await cluster.fetch_record(name))['faults'].keys()
    assert {fault['fault'] for fault in faults} <= applied


async def replies_during(
    cluster: Cluster, faults: list[dict[str, Any]], prefix: str, **options: Any
) -> list[Reply]:
    """Send chats whose ids are the same in two organisations."""
    for name in cluster.engine_names:
        for fault in faults:
            await cluster.set_fault(name, **fault)
    calls = [
        cluster.chat(
            number % PLAN.routers + 1,
            f'{organisation} asks {prefix} {number}',
            organisation=organisation,
            chat_id=f'chat-{number}',
            stream=number % 4 != 0,
            **options,
        )
        for number in range(CHAT_COUNT)
        for organisation in ORGANISATIONS
    ]
    try:
        replies = await asyncio.gather(*calls)
        await assert_applied(cluster, faults)
        return list(replies)
    finally:
        for name in cluster.engine_names:
            await cluster.clear_faults(name)


@pytest.mark.parametrize('case', RECOVERABLE)
async def test_answers_are_complete(cluster: Cluster, case: str) -> None:
    replies = await replies_during(cluster, RECOVERABLE[case], case)
    assert [r for r in replies if not r.is_complete] == []


@pytest.mark.parametrize('case', UNRECOVERABLE)
async def test_a_cut_answer_never_looks_complete(
    cluster: Cluster, case: str
) -> None:
    replies = await replies_during(
        cluster, UNRECOVERABLE[case], case, deadline_ms='2500'
    )
    assert [r for r in replies if not r.is_correct_so_far] == []
    assert [r for r in replies if r.is_finished or r.is_broken] == []
    run_digests = {run['digest'] for run in await cluster.fetch_runs()}
    # A chat that never ran is refused; the outcome of all others is unknown.
    assert {r.type for r in replies if r.digest in run_digests} == {UNKNOWN}
    assert {r.type for r in replies if r.digest not in run_digests} <= {REFUSED}
