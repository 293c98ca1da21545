"""Chats are answered while the log is unavailable; claims are refused."""

import asyncio
import signal
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from ..caller import REFUSED, call
from ..harness import Cluster, ClusterPlan, running_cluster

pytestmark = [
    pytest.mark.processes,
    pytest.mark.asyncio(loop_scope='module'),
]
PLAN = ClusterPlan({'drafting': 2}, plain_services={'slots': 1})
CHAT_COUNT = 40
OUTAGES = ('refuse', 'lost', 'freeze', 'SIGSTOP', 'SIGKILL')


@pytest_asyncio.fixture(loop_scope='module', scope='module')
async def cluster(
    tmp_path_factory: pytest.TempPathFactory,
) -> AsyncIterator[Cluster]:
    async with running_cluster(
        PLAN, tmp_path_factory.mktemp('outages')
    ) as started:
        yield started


async def begin_outage(cluster: Cluster, outage: str) -> None:
    if outage.startswith('SIG'):
        cluster.send_signal('log', signal.Signals[outage])
    else:
        await cluster.set_fault('log', outage)


async def end_outage(cluster: Cluster, outage: str) -> None:
    if outage == 'SIGSTOP':
        cluster.send_signal('log', signal.SIGCONT)
    elif outage != 'SIGKILL':
        await cluster.clear_faults('log')


@pytest.mark.parametrize('outage', OUTAGES)
async def test_chats_do_not_need_the_log(cluster: Cluster, outage: str) -> None:
    await begin_outage(cluster, outage)
    replies = await asyncio.gather(
        *(
            cluster.chat(number % PLAN.routers + 1, f'{outage} {number}')
            for number in range(CHAT_COUNT)
        )
    )
    await end_outage(cluster, outage)
    assert [reply for reply in replies if not reply.is_complete] == []


async def test_claims_without_the_log_are_refused_as_not_run(
    cluster: Cluster,
) -> None:
    """Runs last: the previous test killed the log, and it stays down."""
    runs_before = len((await cluster.fetch_record('slots-1'))['runs'])
    replies = await asyncio.gather(
        *(
            call(
                cluster.session,
                address,
                'slots',
                'book',
                {},
                key=f'claim {address}',
                at_most_once='1',
            )
            for address in cluster.router_addresses
        )
    )
    assert {reply.type for reply in replies} == {REFUSED}
    assert len((await cluster.fetch_record('slots-1'))['runs']) == runs_before
