"""Promises 5 and 6: leaving upstreams, planned stops, and sudden ones."""

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
LEAVING_BOUND_S = 3
LEFT_S = 2
KILL_SEEN_S = 10
STOP_S = 10
RECONNECT_S = 0.1
WORKERS = 6
NUMBERS = itertools.count()


@pytest_asyncio.fixture(loop_scope='module', scope='module')
async def cluster(
    tmp_path_factory: pytest.TempPathFactory,
) -> AsyncIterator[Cluster]:
    async with running_cluster(
        PLAN, tmp_path_factory.mktemp('leaving')
    ) as started:
        yield started


@asynccontextmanager
async def load(
    cluster: Cluster, routers: list[int], text: str = 'tokens=40'
) -> AsyncIterator[list[Reply]]:
    """Send chats one after another from some workers, and take replies."""
    replies: list[Reply] = []
    stopped = asyncio.Event()

    async def work(router: int) -> None:
        while not stopped.is_set():
            content = f'load {next(NUMBERS)} {text}'
            reply = await cluster.chat(router, content)
            replies.append(reply)
            if not reply.has_connected:
                await asyncio.sleep(RECONNECT_S)

    tasks = [
        asyncio.create_task(work(routers[number % len(routers)]))
        for number in range(WORKERS)
    ]
    try:
        yield replies
    finally:
        stopped.set()
        await asyncio.gather(*tasks)


def not_whole(replies: list[Reply]) -> list[Reply]:
    return [reply for reply in replies if not reply.is_complete]


async def runs_of(cluster: Cluster, name: str) -> list[dict[str, Any]]:
    record = await cluster.fetch_record(name)
    return list(record['runs'])


async def late_runs(
    cluster: Cluster, name: str, shown: float
) -> list[dict[str, Any]]:
    """Return the runs that a leaving engine began too late."""
    limit = shown + LEAVING_BOUND_S
    return [run for run in await runs_of(cluster, name) if run['time'] > limit]


async def left_entries(cluster: Cluster, address: str) -> bool:
    """Tell whether the last two routers give it to callers no more."""
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
    async with load(cluster, [1, 2, 3, 4], 'tokens=200') as replies:
        await until(lambda: replies)
        cluster.set_vm_state(name, 'leaving')
        await cluster.publish_vms()
        shown = time.time()
        await asyncio.sleep(LEAVING_BOUND_S + 1)
    assert await late_runs(cluster, name, shown) == []
    assert not_whole(replies) == []
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
    async with load(cluster, [1, 2, 3, 4], 'tokens=60') as replies:
        await until(lambda: replies)
        cluster.send_signal(name, stop)
        stopped = len(replies)
        await until(lambda: len(replies) > stopped + 4 * WORKERS, 20)
        if start is None:
            cluster.restart_engine(name)
        else:
            cluster.send_signal(name, start)
        resumed = len(replies)
        await until(lambda: len(replies) > resumed + WORKERS)
    assert not_whole(replies) == []


async def test_one_leaves_while_another_freezes_without_the_log(
    cluster: Cluster,
) -> None:
    leaving, frozen, _ = cluster.engine_names
    await cluster.set_fault('log', 'refuse')
    async with load(cluster, [1, 2, 3, 4], 'tokens=60') as replies:
        await until(lambda: replies)
        cluster.set_vm_state(leaving, 'leaving')
        await cluster.publish_vms()
        shown = time.time()
        cluster.send_signal(frozen, signal.SIGSTOP)
        await asyncio.sleep(LEAVING_BOUND_S + 1)
        cluster.send_signal(frozen, signal.SIGCONT)
    assert await late_runs(cluster, leaving, shown) == []
    assert not_whole(replies) == []
    await cluster.clear_faults('log')
    cluster.set_vm_state(leaving, 'live')
    await cluster.publish_vms()


async def test_a_killed_router_harms_only_its_own_callers(
    cluster: Cluster,
) -> None:
    victim = cluster.router_addresses[1]
    async with (
        load(cluster, [1, 3, 4]) as others,
        load(cluster, [2]) as own,
    ):
        await until(lambda: others and own)
        cluster.send_signal('router-2', signal.SIGKILL)
        killed = len(others)
        await until(lambda: left_entries(cluster, victim), KILL_SEEN_S)
        await until(lambda: len(others) > killed + WORKERS)
    assert [reply for reply in own if not reply.is_correct_so_far] == []
    assert not_whole(others) == []


async def test_a_planned_stop_of_a_router_cuts_nothing(
    cluster: Cluster,
) -> None:
    """Runs with router 2 dead since the test above."""
    stopping = cluster.router_addresses[0]
    assert stopping in await fetch_entry_addresses(cluster.session, stopping)
    async with load(cluster, [1, 3], 'tokens=60') as replies:
        await until(lambda: replies)
        cluster.send_signal('router-1', signal.SIGTERM)
        signalled = time.monotonic()
        await until(lambda: left_entries(cluster, stopping), LEFT_S)
    assert not_whole(replies) == []

    # One more caller comes just before its old answer expires.
    until_late = signalled + PLAN.entries_lifetime * 0.9 - time.monotonic()
    await asyncio.sleep(until_late)
    async with ClientSession() as session:
        turn = [{'role': 'user', 'content': 'late tokens=200'}]
        late = await chat(session, stopping, turn)
    assert late.is_complete
    await until(lambda: cluster.exit_code('router-1') is not None, STOP_S)
    assert cluster.exit_code('router-1') == 0


async def test_a_planned_stop_while_an_engine_dies(cluster: Cluster) -> None:
    """Runs last, with routers 3 and 4 left by the tests above."""
    async with load(cluster, [3], 'tokens=60') as replies:
        await until(lambda: replies)
        cluster.send_signal('router-3', signal.SIGTERM)
        cluster.send_signal(cluster.engine_names[2], signal.SIGKILL)
        stopping = len(replies)
        await until(lambda: len(replies) > stopping + WORKERS)
    assert not_whole(replies) == []
    await until(lambda: cluster.exit_code('router-3') == 0, STOP_S)
