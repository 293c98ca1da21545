"""Promise 3: a request that was refused as not run did not run."""

import asyncio
import signal
from collections.abc import AsyncIterator
from typing import Any

import pytest
import pytest_asyncio

from ..caller import FAILED, REFUSED, UNKNOWN, Reply, call
from ..harness import Cluster, ClusterPlan, running_cluster
from ..standins.answers import digest
from ..waiting import until

pytestmark = [
    pytest.mark.processes,
    pytest.mark.asyncio(loop_scope='module'),
]
PLAN = ClusterPlan(
    {'drafting': 2},
    plain_services={'slots': 2},
    idle_timeout='700ms',
    engine_options=('--token-ms', '4', '--slots', '3', '--queue', '2'),
)
CALL_COUNT = 60
MAX_REFUSAL_S = 2
RECOVERY_TIMEOUT_S = 3
CHATS_PATH = '/v1/chat'
CALLS_PATH = '/calls'
FAULTS: dict[str, list[dict[str, Any]]] = {
    'overload': [],
    'refuse': [{'fault': 'refuse'}],
    'some refuse': [{'fault': 'refuse', 'count': 7}],
    'lost': [{'fault': 'lost', 'count': 5}],
    'cut': [{'fault': 'cut', 'count': 5}],
    'late': [{'fault': 'late', 'seconds': 0.4, 'count': 9}],
    'break': [{'fault': 'break', 'after': 0, 'path': ''}],
    'refuse and lost': [
        {'fault': 'refuse', 'count': 5},
        {'fault': 'lost', 'count': 5},
    ],
    'late and cut': [
        {'fault': 'late', 'seconds': 0.4, 'count': 9},
        {'fault': 'cut', 'count': 5},
    ],
}


@pytest_asyncio.fixture(loop_scope='module', scope='module')
async def cluster(
    tmp_path_factory: pytest.TempPathFactory,
) -> AsyncIterator[Cluster]:
    async with running_cluster(
        PLAN, tmp_path_factory.mktemp('refused')
    ) as started:
        yield started


async def set_faults(
    cluster: Cluster, names: list[str], path: str, case: str
) -> None:
    for name in names:
        await cluster.clear_faults(name)
        for fault in FAULTS[case]:
            await cluster.set_fault(name, **{'path': path, **fault})


async def assert_applied(cluster: Cluster, names: list[str], case: str) -> None:
    """Check that each fault of the case was applied at some upstream."""
    applied: set[str] = set()
    for name in names:
        applied |= (await cluster.fetch_record(name))['faults'].keys()
    assert {fault['fault'] for fault in FAULTS[case]} <= applied


async def send_chats(
    cluster: Cluster, prefix: str, count: int = CALL_COUNT, **options: Any
) -> tuple[list[Reply], list[str]]:
    """Send chats with distinct texts; return the replies and digests."""
    texts = [f'{prefix} {number}' for number in range(count)]
    replies = await asyncio.gather(
        *(
            cluster.chat(number % PLAN.routers + 1, text, **options)
            for number, text in enumerate(texts)
        )
    )
    digests = [digest([{'role': 'user', 'content': text}]) for text in texts]
    return list(replies), digests


def refused_but_run(
    replies: list[Reply], request_ids: list[str], run_ids: set[str]
) -> list[Reply]:
    return [
        reply
        for reply, request_id in zip(replies, request_ids, strict=True)
        if reply.type == REFUSED and request_id in run_ids
    ]


def invalid_replies(replies: list[Reply]) -> list[Reply]:
    """Return replies without an outcome, or refusals without Retry-After."""
    return [
        reply
        for reply in replies
        if reply.is_broken
        or not (reply.is_finished or reply.type in {REFUSED, UNKNOWN, FAILED})
        or (reply.type == REFUSED and 'Retry-After' not in reply.headers)
    ]


@pytest.mark.parametrize('case', FAULTS)
@pytest.mark.parametrize('at_most_once', ['0', '1'])
async def test_refused_chats_did_not_run(
    cluster: Cluster, case: str, at_most_once: str
) -> None:
    await set_faults(cluster, cluster.engine_names, CHATS_PATH, case)
    replies, digests = await send_chats(
        cluster,
        f'{case} {at_most_once}',
        deadline_ms='2500',
        at_most_once=at_most_once,
    )
    run_digests = {run['digest'] for run in await cluster.fetch_runs()}
    assert refused_but_run(replies, digests, run_digests) == []
    assert invalid_replies(replies) == []
    await assert_applied(cluster, cluster.engine_names, case)
    if case == 'refuse':
        assert {reply.type for reply in replies} == {REFUSED}


@pytest.mark.parametrize('case', [c for c in FAULTS if c != 'break'])
async def test_refused_plain_calls_did_not_run(
    cluster: Cluster, case: str
) -> None:
    names = ['slots-1', 'slots-2']
    await set_faults(cluster, names, CALLS_PATH, case)
    keys = [f'{case} {number}' for number in range(CALL_COUNT)]
    replies = await asyncio.gather(
        *(
            call(
                cluster.session,
                cluster.router_addresses[number % PLAN.routers],
                'slots',
                'book',
                {'slot': number, 'seconds': 0.01},
                key=key,
                at_most_once='1',
                deadline_ms='2500',
            )
            for number, key in enumerate(keys)
        )
    )
    records = [await cluster.fetch_record(name) for name in names]
    run_keys = [run['key'] for record in records for run in record['runs']]
    assert refused_but_run(list(replies), keys, set(run_keys)) == []
    assert sorted(run_keys) == sorted(set(run_keys))
    await assert_applied(cluster, names, case)


async def test_chats_are_refused_promptly_without_engines_and_recover(
    cluster: Cluster,
) -> None:
    for name in cluster.engine_names:
        await cluster.clear_faults(name)
        cluster.send_signal(name, signal.SIGKILL)
    replies, _ = await send_chats(cluster, 'nobody', deadline_ms='5000')
    assert {reply.type for reply in replies} == {REFUSED}
    assert invalid_replies(replies) == []
    assert max(reply.seconds for reply in replies) < MAX_REFUSAL_S

    cluster.restart_engine('drafting-1')
    await cluster.wait_stand_in_ready('drafting-1')

    async def answers_all() -> bool:
        replies, _ = await send_chats(cluster, 'back', PLAN.routers)
        return all(reply.is_complete for reply in replies)

    await until(answers_all, RECOVERY_TIMEOUT_S)
