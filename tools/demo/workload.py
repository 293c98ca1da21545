"""
tools.demo.workload
~~~~~~~~~~~~~~~~~~~

The callers' load: chats of several turns, and at-most-once bookings that are
sent to two routers with the same idempotency key.
"""

__all__ = ('Booking', 'Workload', 'run_bookings', 'run_chats')

import asyncio
import random
import uuid
from collections.abc import Callable
from dataclasses import dataclass

from tests.caller import Reply, call, chat, fetch_entry_addresses
from tests.harness import Cluster

ORGANISATIONS = ('quito-central', 'sierra-norte', 'loja', 'cuenca', 'ibarra')
ORGANISATION_WEIGHTS = (5, 4, 1, 1, 1)
MODELS = ('route-notes', 'route-notes', 'route-notes', 'slot-assistant')
FIRST_PROMPT_WORDS = 400
MAX_PAUSE_S = 0.6


@dataclass(frozen=True, slots=True)
class Workload:
    """Amount of load.

    :ivar chats: chats of several turns
    :ivar turns: requests of each chat
    :ivar bookings: at-most-once calls, each sent twice
    """

    chats: int = 120
    turns: int = 4
    bookings: int = 60
    seed: int = 7


@dataclass(frozen=True, slots=True)
class Booking:
    """One booking and the replies to its two calls."""

    key: str
    first: Reply
    second: Reply


async def run_chats(
    cluster: Cluster, workload: Workload, on_reply: Callable[[Reply], None]
) -> None:
    """Run all chats concurrently."""
    rng = random.Random(workload.seed)
    async with asyncio.TaskGroup() as tasks:
        for number in range(workload.chats):
            seed = rng.random()
            tasks.create_task(
                _run_chat(
                    cluster, workload, number, random.Random(seed), on_reply
                )
            )


async def run_bookings(cluster: Cluster, workload: Workload) -> list[Booking]:
    """Send every booking twice, to two routers."""
    rng = random.Random(workload.seed)
    return list(
        await asyncio.gather(
            *(
                _send_booking(
                    cluster,
                    rng.sample(cluster.router_addresses, 2),
                    rng.random(),
                )
                for _ in range(workload.bookings)
            )
        )
    )


async def _run_chat(
    cluster: Cluster,
    workload: Workload,
    number: int,
    rng: random.Random,
    on_reply: Callable[[Reply], None],
) -> None:
    organisation = rng.choices(ORGANISATIONS, ORGANISATION_WEIGHTS)[0]
    history = [{'role': 'user', 'content': _words(rng, FIRST_PROMPT_WORDS)}]
    addresses = await fetch_entry_addresses(
        cluster.session, rng.choice(cluster.router_addresses)
    )
    for _ in range(workload.turns):
        await asyncio.sleep(rng.random() * MAX_PAUSE_S)
        reply = await chat(
            cluster.session,
            rng.choice(addresses),
            history,
            organisation=organisation,
            model=MODELS[number % len(MODELS)],
            stream=rng.random() > 1 / 4,
            chat_id=f'chat-{number}',
        )
        on_reply(reply)
        history.append({'role': 'assistant', 'content': reply.text})
        history.append({'role': 'user', 'content': _words(rng, 20)})


async def _send_booking(
    cluster: Cluster, addresses: list[str], pause_s: float
) -> Booking:
    await asyncio.sleep(pause_s)
    key = str(uuid.uuid4())
    replies = [
        await call(
            cluster.session,
            address,
            'slots',
            'book',
            {'slot': key},
            key=key,
            at_most_once='1',
        )
        for address in addresses
    ]
    return Booking(key, *replies)


def _words(rng: random.Random, count: int) -> str:
    return ' '.join(f'w{rng.randrange(10_000)}' for _ in range(count))
