"""
tools.measure.control
~~~~~~~~~~~~~~~~~~~~~

``python -m tools.measure.control`` runs four routers at a small user's
request rates and prints the control bytes a second of each, by kind of peer.
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
MEASURE_S = 20
CHATS_PER_S = 18
BOOKINGS_PER_S = 1
CHAT_COUNT = 200
SEED = 3


async def main() -> int:
    """Run once and print a line for each router."""
    with tempfile.TemporaryDirectory() as directory:
        async with running_cluster(PLAN, Path(directory)) as cluster:
            load = asyncio.create_task(_generate_load(cluster))
            await asyncio.sleep(WARM_UP_S)
            before = await _peer_traffic(cluster)
            await asyncio.sleep(MEASURE_S)
            after = await _peer_traffic(cluster)
            await load
    print(
        f'{CHATS_PER_S} chats/s, {BOOKINGS_PER_S} at-most-once calls/s, '
        f'{MEASURE_S} s; bytes/s sent + received'
    )
    for number, (earlier, later) in enumerate(
        zip(before, after, strict=True), 1
    ):
        print(f'router-{number}: {_format_rates(earlier, later)}')
    return 0


async def _generate_load(cluster: Cluster) -> None:
    rng = random.Random(SEED)
    rate = CHATS_PER_S + BOOKINGS_PER_S
    async with asyncio.TaskGroup() as tasks:
        for _ in range(rate * (WARM_UP_S + MEASURE_S)):
            await asyncio.sleep(rng.expovariate(rate))
            router = rng.choice(cluster.router_addresses)
            if rng.random() < BOOKINGS_PER_S / rate:
                tasks.create_task(_send_booking(cluster, router))
            else:
                tasks.create_task(
                    _send_chat(cluster, router, rng.randrange(CHAT_COUNT))
                )


async def _send_chat(cluster: Cluster, router: str, number: int) -> None:
    messages = [{'role': 'user', 'content': f'chat {number} tokens=50'}]
    await chat(cluster.session, router, messages, chat_id=f'chat-{number}')


async def _send_booking(cluster: Cluster, router: str) -> None:
    key = str(uuid.uuid4())
    await call(
        cluster.session, router, 'slots', 'book', {}, key=key, at_most_once='1'
    )


async def _peer_traffic(cluster: Cluster) -> list[dict[str, Any]]:
    numbers = range(1, PLAN.routers + 1)
    return [
        (await cluster.fetch_state(number))['traffic']['peers']
        for number in numbers
    ]


def _format_rates(earlier: dict[str, Any], later: dict[str, Any]) -> str:
    no_traffic = {'sent': 0, 'received': 0}
    rates = {
        peer: sum(
            count[direction] - earlier.get(peer, no_traffic)[direction]
            for direction in ('sent', 'received')
        )
        / MEASURE_S
        for peer, count in later.items()
    }
    parts = ', '.join(f'{peer} {rate:.0f}' for peer, rate in rates.items())
    return f'{sum(rates.values()):.0f} in total ({parts})'


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
