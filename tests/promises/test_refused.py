"""Promise 3: what was refused as not run did not run."""

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
CALLS = 60
PROMPT_S = 2
RECOVERY_S = 3
CHATS = '/v1/chat'
PLAIN = '/calls'
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
    """Check that each fault of the case befell at least one upstream."""
    applied: set[str] = set()
    for name in names:
        applied |= (await cluster.fetch_record(name))['faults'].keys()
    assert {fault['fault'] for fault in FAULTS[case]} <= applied


async def send_chats(
    cluster: Cluster, mark: str, count: int = CALLS, **options: Any
) -> tuple[list[Reply], list[str]]:
    """Send chats that are told apart by their digests."""
    texts = [f'{mark} {number}' for number in range(count)]
    replies = await asyncio.gather(
        *(
            cluster.chat(number % PLAN.routers + 1, text, **options)
            for number, text in enumerate(texts)
        )
    )
    marks = [digest([{'role': 'user', 'content': text}]) for text in texts]
    return list(replies), marks


def wrongly_refused(
    replies: list[Reply], marks: list[str], ran: set[str]
) -> list[Reply]:
    return [
        reply
        for reply, mark in zip(replies, marks, strict=True)
        if reply.type == REFUSED and mark in ran
    ]


def badly_told(replies: list[Reply]) -> list[Reply]:
    """Return replies without an ending, or refusals without advice."""
    return [
        reply
        for reply in replies
        if reply.is_broken
        or not (reply.is_finished or reply.type in {REFUSED, UNKNOWN, FAILED})
        or (reply.type == REFUSED and 'Retry-After' not in reply.headers)
    ]


@pytest.mark.parametrize('case', FAULTS)
@pytest.mark.parametrize('once', ['0', '1'])
async def test_refused_chats_did_not_run(
    cluster: Cluster, case: str, once: str
) -> None:
    await set_faults(cluster, cluster.engine_names, CHATS, case)
    replies, marks = await send_chats(
        cluster, f'{case} {once}', deadline_ms='2500', at_most_once=once
    )
    ran = {run['digest'] for run in await cluster.fetch_runs()}
    assert wrongly_refused(replies, marks, ran) == []
    assert badly_told(replies) == []
    await assert_applied(cluster, cluster.engine_names, case)
    if case == 'refuse':
        assert {reply.type for reply in replies} == {REFUSED}


@pytest.mark.parametrize('case', [c for c in FAULTS if c != 'break'])
async def test_refused_plain_calls_did_not_run(
    cluster: Cluster, case: str
) -> None:
    names = ['slots-1', 'slots-2']
    await set_faults(cluster, names, PLAIN, case)
    keys = [f'{case} {number}' for number in range(CALLS)]
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
    ran = [run['key'] for record in records for run in record['runs']]
    assert wrongly_refused(list(replies), keys, set(ran)) == []
    assert sorted(ran) == sorted(set(ran))
    await assert_applied(cluster, names, case)


async def test_no_engine_gives_prompt_refusals_and_recovery(
    cluster: Cluster,
) -> None:
    for name in cluster.engine_names:
        await cluster.clear_faults(name)
        cluster.send_signal(name, signal.SIGKILL)
    replies, _ = await send_chats(cluster, 'nobody', deadline_ms='5000')
    assert {reply.type for reply in replies} == {REFUSED}
    assert badly_told(replies) == []
    assert max(reply.seconds for reply in replies) < PROMPT_S

    cluster.restart_engine('drafting-1')
    await cluster.wait_stand_in_ready('drafting-1')

    async def answers() -> bool:
        replies, _ = await send_chats(cluster, 'back', PLAN.routers)
        return all(reply.is_complete for reply in replies)

    await until(answers, RECOVERY_S)
