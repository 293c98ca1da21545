"""Promise 4: a marked request runs no more than once.

Callers repeat each key at any router, at the same time and after failures,
while answers are lost, a router is killed, another is paused and woken, the
log goes away and the routers' VM lists differ.
"""

import asyncio
import random
import signal
from collections import Counter
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass, field

import pytest
import pytest_asyncio

from ..caller import FAILED, REFUSED, UNKNOWN, Reply, call, chat
from ..harness import Cluster, ClusterPlan, running_cluster
from ..waiting import until

pytestmark = [
    pytest.mark.processes,
    pytest.mark.asyncio(loop_scope='module'),
]
PLAN = ClusterPlan(
    {'drafting': 1, 'booking': 2},
    plain_services={'slots': 3},
    idle_timeout='1s',
    engine_options=('--token-ms', '1'),
)
KEYS = 5_000
CALLS = 10_000
LONGEST_CALL_S = 2.0
PAUSE_S = 1.5
LONGEST_RUN_S = 60
OUTAGE_S = 1.0
WORKERS = 32
CHAT_SHARE = 0.05
SEED = 11
APPEND = 'POST /v1/streams/claims'
PLAIN = ('slots-1', 'slots-2', 'slots-3')
ENGINES = ('booking-1', 'booking-2')


@dataclass(slots=True)
class Tally:
    """What callers were told, by key."""

    replies: dict[str, list[Reply]] = field(default_factory=dict)
    done: int = 0

    def told(self) -> Counter[str]:
        """Count the answers of all calls."""
        every = [r for replies in self.replies.values() for r in replies]
        return Counter(_told(reply) for reply in every)


@pytest_asyncio.fixture(loop_scope='module', scope='module')
async def cluster(
    tmp_path_factory: pytest.TempPathFactory,
) -> AsyncIterator[Cluster]:
    async with running_cluster(
        PLAN, tmp_path_factory.mktemp('once')
    ) as started:
        yield started


async def test_no_key_runs_twice(cluster: Cluster) -> None:
    tally = Tally()
    keys = iter([f'key-{number}' for number in range(KEYS)])
    faults = asyncio.create_task(befall(cluster, tally))
    await asyncio.gather(
        *(
            book(cluster, keys, tally, random.Random(SEED + worker))
            for worker in range(WORKERS)
        )
    )
    await faults

    ran = await runs_by_key(cluster)
    told = tally.told()
    print(f'{len(tally.replies)} keys, {len(ran)} ran, told: {dict(told)}')
    assert [key for key, count in ran.items() if count > 1] == []
    assert [k for k, r in tally.replies.items() if wrong(r, ran[k])] == []
    assert set(told) <= {'answered', REFUSED, UNKNOWN, 'no answer'}
    assert told['no answer'] < CALLS / 10
    assert told.total() >= CALLS
    # Most keys are answered, so that the above is not true of nothing.
    assert told['answered'] > KEYS / 2


def wrong(replies: list[Reply], runs: int) -> bool:
    """Tell whether what the callers of a key were told can't be true."""
    told = [_told(reply) for reply in replies]
    bodies = {
        reply.text or str(reply.content)
        for reply in replies
        if _told(reply) == 'answered'
    }
    if len(bodies) > 1 or (bodies and not runs):
        return True
    return set(told) == {REFUSED} and runs > 0


async def book(
    cluster: Cluster, keys: Iterator[str], tally: Tally, rng: random.Random
) -> None:
    """Send each key to two routers at once, and again until it is told."""
    for key in keys:
        is_chat = rng.random() < CHAT_SHARE
        routers = rng.sample(cluster.router_addresses, PLAN.routers)
        first = await asyncio.gather(
            *(send(cluster, address, key, is_chat) for address in routers[:2])
        )
        replies = tally.replies.setdefault(key, [])
        replies.extend(first)
        if not any(_told(reply) == 'answered' for reply in first):
            replies.append(await send(cluster, routers[2], key, is_chat))
        tally.done += 1


async def send(
    cluster: Cluster, address: str, key: str, is_chat: bool
) -> Reply:
    if is_chat:
        turn = [{'role': 'user', 'content': f'book key={key} tokens=4'}]
        return await chat(
            cluster.session,
            address,
            turn,
            model='slot-assistant',
            timeout_s=LONGEST_CALL_S,
            key=key,
            at_most_once='1',
            deadline_ms='1500',
        )
    body = {'slot': key}
    return await call(
        cluster.session,
        address,
        'slots',
        'book',
        body,
        timeout_s=LONGEST_CALL_S,
        key=key,
        at_most_once='1',
        deadline_ms='1500',
    )


async def befall(cluster: Cluster, tally: Tally) -> None:
    """Let one fault follow the other, some of them together."""
    step = KEYS // 10

    async def reach(part: int) -> None:
        await until(lambda: tally.done >= part * step, LONGEST_RUN_S)

    await reach(1)
    await cluster.set_fault('log', 'lost', path=APPEND, count=20)
    await reach(2)
    for name in PLAIN:
        await cluster.set_fault(name, 'lost', path='/calls', count=10)
    for name in ENGINES:
        await cluster.set_fault(name, 'lost', path='/v1/chat', count=5)
    await reach(3)
    cluster.send_signal('router-2', signal.SIGKILL)
    await reach(4)
    cluster.start_router(2)
    cluster.send_signal('router-3', signal.SIGSTOP)
    await cluster.set_fault('log', 'lost', path=APPEND, count=20)
    await asyncio.sleep(PAUSE_S)
    cluster.send_signal('router-3', signal.SIGCONT)
    await reach(5)
    cluster.set_vm_state('slots-3', 'leaving')
    await cluster.publish_vms()
    await reach(6)
    await cluster.set_fault('log', 'refuse')
    await asyncio.sleep(OUTAGE_S)
    await cluster.clear_faults('log')
    await reach(7)
    await cluster.set_fault('log', 'late', path=APPEND, seconds=0.3, count=30)
    await reach(8)
    cluster.set_vm_state('slots-3', 'live')
    await cluster.publish_vms()
    for name in PLAIN:
        await cluster.set_fault(name, 'cut', path='/calls', count=10)


async def runs_by_key(cluster: Cluster) -> Counter[str]:
    names = (*PLAIN, *ENGINES)
    records = await asyncio.gather(*map(cluster.fetch_record, names))
    return Counter(
        run['key'] for record in records for run in record['runs'] if run['key']
    )


def _told(reply: Reply) -> str:
    if reply.type in {REFUSED, UNKNOWN, FAILED}:
        return reply.type
    if reply.is_broken or not reply.status:
        return 'no answer'
    return 'answered' if reply.status == 200 else str(reply.status)
