"""Promises 5 and 6: leaving upstreams, planned stops, and crashes."""

import asyncio
import itertools
import signal
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest
import pytest_asyncio
from aiohttp import ClientSession

from ..caller import Reply, chat, fetch_entry_addresses
from ..harness import Cluster, ClusterPlan, running_cluster
from ..waiting import until

pytestmark = [
    pytest.mark.processes,
    pytest.mark.asyncio(loop_scope='module'),
]
PLAN = ClusterPlan(
    {'drafting': 3},
    idle_timeout='1s',
    engine_options=('--token-ms', '8'),
    entries_lifetime=2,
)
MAX_LEAVING_S = 3
STOP_DELISTING_S = 2
KILL_DELISTING_S = 10
STOP_TIMEOUT_S = 10
RECONNECT_DELAY_S = 0.1
WORKERS = 6
CHAT_NUMBERS = itertools.count()


@pytest_asyncio.fixture(loop_scope='module', scope='module')
async def cluster(
    tmp_path_factory: pytest.TempPathFactory,
) -> AsyncIterator[Cluster]:
    async with running_cluster(
        PLAN, tmp_path_factory.mktemp('leaving')
    ) as started:
        yield started


@asynccontextmanager
async def chat_load(
    cluster: Cluster, routers: list[int], text: str = 'tokens=40'
) -> AsyncIterator[list[Reply]]:
    """Send chats from several workers, and give the list of replies."""
    replies: list[Reply] = []
    stopped = asyncio.Event()

    async def work(router: int) -> None:
        while not stopped.is_set():
            content = f'load {next(CHAT_NUMBERS)} {text}'
            reply = await cluster.chat(router, content)
            replies.append(reply)
            if not reply.has_connected:
                await asyncio.sleep(RECONNECT_DELAY_S)

    tasks = [
        asyncio.create_task(work(routers[number % len(routers)]))
        for number in range(WORKERS)
    ]
    try:
        yield replies
    finally:
        stopped.set()
        await asyncio.gather(*tasks)


def incomplete(replies: list[Reply]) -> list[Reply]:
    return [reply for reply in replies if not reply.is_complete]


async def runs_of(cluster: Cluster, name: str) -> list[dict[str, Any]]:
    record = await cluster.fetch_record(name)
    return list(record['runs'])


async def late_runs(
    cluster: Cluster, name: str, shown_at: float
) -> list[dict[str, Any]]:
    """Return the runs that began over ``MAX_LEAVING_S`` after ``shown_at``."""
    limit = shown_at + MAX_LEAVING_S
    return [run for run in await runs_of(cluster, name) if run['time'] > limit]


async def is_delisted(cluster: Cluster, address: str) -> bool:
    """Return whether routers 3 and 4 no longer list it to callers."""
    answers = await asyncio.gather(
        *(
            fetch_entry_addresses(cluster.session, other)
            for other in cluster.router_addresses[2:]
        )
    )
    return all(address not in answer for answer in answers)


async def test_a_leaving_engine_gets_no_new_work_and_finishes(
    cluster: Cluster,
) -> None:
    name = cluster.engine_names[0]
    async with chat_load(cluster, [1, 2, 3, 4], 'tokens=200') as replies:
        await until(lambda: replies)
        cluster.set_vm_state(name, 'leaving')
        await cluster.publish_vms()
        shown_at = time.time()
        await asyncio.sleep(MAX_LEAVING_S + 1)
    assert await late_runs(cluster, name, shown_at) == []
    assert incomplete(replies) == []
    assert {run['ended'] for run in await runs_of(cluster, name)} == {'stop'}
    cluster.set_vm_state(name, 'live')
    await cluster.publish_vms()


@pytest.mark.parametrize(
    ('stop', 'start'),
    [
        (signal.SIGSTOP, signal.SIGCONT),
        (signal.SIGKILL, None),
    ],
)
async def test_an_engine_that_freezes_or_dies(
    cluster: Cluster, stop: signal.Signals, start: signal.Signals | None
) -> None:
    name = cluster.engine_names[1]
    async with chat_load(cluster, [1, 2, 3, 4], 'tokens=60') as replies:
        await until(lambda: replies)
        cluster.send_signal(name, stop)
        replies_before_stop = len(replies)
        await until(
            lambda: len(replies) > replies_before_stop + 4 * WORKERS, 20
        )
        if start is None:
            cluster.restart_engine(name)
        else:
            cluster.send_signal(name, start)
        replies_before_resume = len(replies)
        await until(lambda: len(replies) > replies_before_resume + WORKERS)
    assert incomplete(replies) == []


async def test_one_engine_leaves_while_another_freezes_without_the_log(
    cluster: Cluster,
) -> None:
    leaving, frozen, _ = cluster.engine_names
    await cluster.set_fault('log', 'refuse')
    async with chat_load(cluster, [1, 2, 3, 4], 'tokens=60') as replies:
        await until(lambda: replies)
        cluster.set_vm_state(leaving, 'leaving')
        await cluster.publish_vms()
        shown_at = time.time()
        cluster.send_signal(frozen, signal.SIGSTOP)
        await asyncio.sleep(MAX_LEAVING_S + 1)
        cluster.send_signal(frozen, signal.SIGCONT)
    assert await late_runs(cluster, leaving, shown_at) == []
    assert incomplete(replies) == []
    await cluster.clear_faults('log')
    cluster.set_vm_state(leaving, 'live')
    await cluster.publish_vms()


async def test_a_killed_router_affects_only_its_own_callers(
    cluster: Cluster,
) -> None:
    killed_router = cluster.router_addresses[1]
    async with (
        chat_load(cluster, [1, 3, 4]) as others,
        chat_load(cluster, [2]) as own,
    ):
        await until(lambda: others and own)
        cluster.send_signal('router-2', signal.SIGKILL)
        replies_before_kill = len(others)
        await until(
            lambda: is_delisted(cluster, killed_router), KILL_DELISTING_S
        )
        await until(lambda: len(others) > replies_before_kill + WORKERS)
    assert [reply for reply in own if not reply.is_correct_so_far] == []
    assert incomplete(others) == []


async def test_a_planned_stop_of_a_router_cuts_nothing(
    cluster: Cluster,
) -> None:
    """Runs without router 2, which the previous test killed."""
    stopping = cluster.router_addresses[0]
    assert stopping in await fetch_entry_addresses(cluster.session, stopping)
    async with chat_load(cluster, [1, 3], 'tokens=60') as replies:
        await until(lambda: replies)
        cluster.send_signal('router-1', signal.SIGTERM)
        signalled_at = time.monotonic()
        await until(lambda: is_delisted(cluster, stopping), STOP_DELISTING_S)
    assert incomplete(replies) == []

    # A caller whose entry addresses are about to expire still connects.
    delay_s = signalled_at + PLAN.entries_lifetime * 0.9 - time.monotonic()
    await asyncio.sleep(delay_s)
    async with ClientSession() as session:
        turn = [{'role': 'user', 'content': 'late tokens=200'}]
        late_reply = await chat(session, stopping, turn)
    assert late_reply.is_complete
    await until(
        lambda: cluster.exit_code('router-1') is not None, STOP_TIMEOUT_S
    )
    assert cluster.exit_code('router-1') == 0


async def test_a_planned_stop_while_an_engine_dies(cluster: Cluster) -> None:
    """Runs last: only routers 3 and 4 are still running."""
    async with chat_load(cluster, [3], 'tokens=60') as replies:
        await until(lambda: replies)
        cluster.send_signal('router-3', signal.SIGTERM)
        cluster.send_signal(cluster.engine_names[2], signal.SIGKILL)
        replies_before_stop = len(replies)
        await until(lambda: len(replies) > replies_before_stop + WORKERS)
    assert incomplete(replies) == []
    await until(lambda: cluster.exit_code('router-3') == 0, STOP_TIMEOUT_S)
