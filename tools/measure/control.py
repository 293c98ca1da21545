"""
tools.measure.control
~~~~~~~~~~~~~~~~~~~~~

``python -m tools.measure.control`` runs four routers at a small user's own
rates and prints the control bytes a second of each, by kind of peer.
"""

__all__ = ()

import asyncio
import random
import sys
import tempfile
import uuid
from pathlib import Path
from typing import Any

from tests.caller import call, chat
from tests.harness import Cluster, ClusterPlan, running_cluster

PLAN = ClusterPlan(
    engines={'drafting': 9, 'booking': 3},
    plain_services={'slots': 2},
    engine_options=('--token-ms', '20'),
    lease_ttl='10s',
)
WARM_UP_S = 5
SECONDS = 20
CHATS_PER_SECOND = 18
BOOKINGS_PER_SECOND = 1
CHATS = 200
SEED = 3


async def main() -> int:
    """Run once and print a line for each router."""
    with tempfile.TemporaryDirectory() as directory:
        async with running_cluster(PLAN, Path(directory)) as cluster:
            load = asyncio.create_task(_load(cluster))
            await asyncio.sleep(WARM_UP_S)
            before = await _states(cluster)
            await asyncio.sleep(SECONDS)
            after = await _states(cluster)
            await load
    print(
        f'{CHATS_PER_SECOND} chats/s, {BOOKINGS_PER_SECOND} marked calls/s, '
        f'{SECONDS} s; bytes/s sent + received'
    )
    for number, (old, new) in enumerate(zip(before, after, strict=True), 1):
        print(f'router-{number}: {_rates(old, new)}')
    return 0


async def _load(cluster: Cluster) -> None:
    rng = random.Random(SEED)
    rate = CHATS_PER_SECOND + BOOKINGS_PER_SECOND
    async with asyncio.TaskGroup() as tasks:
        for _ in range(rate * (WARM_UP_S + SECONDS)):
            await asyncio.sleep(rng.expovariate(rate))
            router = rng.choice(cluster.router_addresses)
            if rng.random() < BOOKINGS_PER_SECOND / rate:
                tasks.create_task(_book(cluster, router))
            else:
                tasks.create_task(_ask(cluster, router, rng.randrange(CHATS)))


async def _ask(cluster: Cluster, router: str, number: int) -> None:
    turns = [{'role': 'user', 'content': f'chat {number} tokens=50'}]
    await chat(cluster.session, router, turns, chat_id=f'chat-{number}')


async def _book(cluster: Cluster, router: str) -> None:
    key = str(uuid.uuid4())
    await call(
        cluster.session, router, 'slots', 'book', {}, key=key, at_most_once='1'
    )


async def _states(cluster: Cluster) -> list[dict[str, Any]]:
    numbers = range(1, PLAN.routers + 1)
    return [(await cluster.fetch_state(n))['traffic']['peers'] for n in numbers]


def _rates(old: dict[str, Any], new: dict[str, Any]) -> str:
    none = {'sent': 0, 'received': 0}
    rates = {
        peer: sum(
            count[way] - old.get(peer, none)[way]
            for way in ('sent', 'received')
        )
        / SECONDS
        for peer, count in new.items()
    }
    parts = ', '.join(f'{peer} {rate:.0f}' for peer, rate in rates.items())
    return f'{sum(rates.values()):.0f} in all ({parts})'


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
