"""Promise 4: a request marked at-most-once runs no more than once.

Callers send each idempotency key to several routers, at the same time and
again after failures. Meanwhile answers are lost, a router is killed, another
is paused and resumed, the log is unavailable and the routers' VM lists differ.
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
KEY_COUNT = 5_000
MIN_CALLS = 10_000
MAX_CALL_S = 2.0
ROUTER_PAUSE_S = 1.5
MAX_RUN_S = 60
LOG_OUTAGE_S = 1.0
WORKERS = 32
CHAT_SHARE = 0.05
SEED = 11
CLAIMS_APPEND = 'POST /v1/streams/claims'
PLAIN_UPSTREAMS = ('slots-1', 'slots-2', 'slots-3')
ENGINES = ('booking-1', 'booking-2')


@dataclass(slots=True)
class Tally:
    """The replies that callers got.

    :ivar replies: replies by idempotency key
    :ivar done: number of keys that are finished
    """

    replies: dict[str, list[Reply]] = field(default_factory=dict)
    done: int = 0

    def outcomes(self) -> Counter[str]:
        """Count the outcomes of all calls."""
        all_replies = [r for replies in self.replies.values() for r in replies]
        return Counter(_outcome_of(reply) for reply in all_replies)


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
    keys = iter([f'key-{number}' for number in range(KEY_COUNT)])
    faults = asyncio.create_task(inject_faults(cluster, tally))
    await asyncio.gather(
        *(
            send_keys(cluster, keys, tally, random.Random(SEED + worker))
            for worker in range(WORKERS)
        )
    )
    await faults

    run_counts = await runs_by_key(cluster)
    outcomes = tally.outcomes()
    print(
        f'{len(tally.replies)} keys, {len(run_counts)} ran, '
        f'outcomes: {dict(outcomes)}'
    )
    assert [key for key, count in run_counts.items() if count > 1] == []
    assert [
        k
        for k, r in tally.replies.items()
        if is_contradictory(r, run_counts[k])
    ] == []
    assert set(outcomes) <= {'answered', REFUSED, UNKNOWN, 'no answer'}
    assert outcomes['no answer'] < MIN_CALLS / 10
    assert outcomes.total() >= MIN_CALLS
    # Most keys are answered; otherwise the checks above would prove nothing.
    assert outcomes['answered'] > KEY_COUNT / 2


def is_contradictory(replies: list[Reply], runs: int) -> bool:
    """Return whether the replies to a key can't all be true."""
    outcomes = [_outcome_of(reply) for reply in replies]
    bodies = {
        reply.text or str(reply.content)
        for reply in replies
        if _outcome_of(reply) == 'answered'
    }
    if len(bodies) > 1 or (bodies and not runs):
        return True
    return set(outcomes) == {REFUSED} and runs > 0


async def send_keys(
    cluster: Cluster, keys: Iterator[str], tally: Tally, rng: random.Random
) -> None:
    """Send each key to two routers at once, and to a third if none answered."""
    for key in keys:
        is_chat = rng.random() < CHAT_SHARE
        routers = rng.sample(cluster.router_addresses, PLAN.routers)
        first_replies = await asyncio.gather(
            *(send(cluster, address, key, is_chat) for address in routers[:2])
        )
        replies = tally.replies.setdefault(key, [])
        replies.extend(first_replies)
        if not any(_outcome_of(reply) == 'answered' for reply in first_replies):
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
            timeout_s=MAX_CALL_S,
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
        timeout_s=MAX_CALL_S,
        key=key,
        at_most_once='1',
        deadline_ms='1500',
    )


async def inject_faults(cluster: Cluster, tally: Tally) -> None:
    """Inject one fault after the other, some of them together."""
    keys_per_tenth = KEY_COUNT // 10

    async def wait_for_tenths(count: int) -> None:
        await until(lambda: tally.done >= count * keys_per_tenth, MAX_RUN_S)

    await wait_for_tenths(1)
    await cluster.set_fault('log', 'lost', path=CLAIMS_APPEND, count=20)
    await wait_for_tenths(2)
    for name in PLAIN_UPSTREAMS:
        await cluster.set_fault(name, 'lost', path='/calls', count=10)
    for name in ENGINES:
        await cluster.set_fault(name, 'lost', path='/v1/chat', count=5)
    await wait_for_tenths(3)
    cluster.send_signal('router-2', signal.SIGKILL)
    await wait_for_tenths(4)
    cluster.start_router(2)
    cluster.send_signal('router-3', signal.SIGSTOP)
    await cluster.set_fault('log', 'lost', path=CLAIMS_APPEND, count=20)
    await asyncio.sleep(ROUTER_PAUSE_S)
    cluster.send_signal('router-3', signal.SIGCONT)
    await wait_for_tenths(5)
    cluster.set_vm_state('slots-3', 'leaving')
    await cluster.publish_vms()
    await wait_for_tenths(6)
    await cluster.set_fault('log', 'refuse')
    await asyncio.sleep(LOG_OUTAGE_S)
    await cluster.clear_faults('log')
    await wait_for_tenths(7)
    await cluster.set_fault(
        'log', 'late', path=CLAIMS_APPEND, seconds=0.3, count=30
    )
    await wait_for_tenths(8)
    cluster.set_vm_state('slots-3', 'live')
    await cluster.publish_vms()
    for name in PLAIN_UPSTREAMS:
        await cluster.set_fault(name, 'cut', path='/calls', count=10)


async def runs_by_key(cluster: Cluster) -> Counter[str]:
    names = (*PLAIN_UPSTREAMS, *ENGINES)
    records = await asyncio.gather(*map(cluster.fetch_record, names))
    return Counter(
        run['key'] for record in records for run in record['runs'] if run['key']
    )


def _outcome_of(reply: Reply) -> str:
    if reply.type in {REFUSED, UNKNOWN, FAILED}:
        return reply.type
    if reply.is_broken or not reply.status:
        return 'no answer'
    return 'answered' if reply.status == 200 else str(reply.status)
