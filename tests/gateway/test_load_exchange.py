"""Routers that tell each other how many requests they have on each upstream."""

import asyncio
from contextlib import AsyncExitStack

from tests.standins.rawupstream import RawRequest, sealed_answer
from tests.waiting import until

from .members import start_member, wait_until_acquainted
from .support import RawResponse, running_gateway, send_request

RUN_S = 2.5
#: Requests of one subject that a router puts on one of four idle upstreams.
OWN_REQUESTS = 5
UPSTREAM_COUNT = 4
#: Stated by the users: most that an upstream may hold, by the mean.
LIMIT_FACTOR = 2
LIMIT_SLACK = 3


async def slow(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(RUN_S)
    writer.write(sealed_answer(request, b'ok'))


async def test_a_router_heeds_the_load_of_its_peers_on_an_upstream() -> None:
    # An upstream that no answer had come from counted as idle at every router.
    async with AsyncExitStack() as stack:
        env = await stack.enter_async_context(
            running_gateway(*[slow] * UPSTREAM_COUNT)
        )
        first, second = [
            await start_member(stack, env, name) for name in ('gw-a', 'gw-b')
        ]
        await wait_until_acquainted((first, second))

        def send(port: int, number: int) -> 'asyncio.Task[RawResponse]':
            return asyncio.create_task(
                send_request(
                    port,
                    '/once/a',
                    attempt=f'a{number}',
                    headers={'Bergamotshed-Prompt-Prefix': f'5:9,{number:x}:1'},
                )
            )

        sent = []
        for number in range(OWN_REQUESTS):
            sent.append(send(first.port, number))
            await until(lambda: len(env.runs) == len(sent))
        chosen = max(env.upstreams, key=lambda each: len(each.requests))
        assert len(chosen.requests) == OWN_REQUESTS
        loads = second.gateway.fleet.heartbeats.loads
        members = second.gateway.fleet.registry.members('s')
        await asyncio.sleep(1)
        sent.append(send(second.port, OWN_REQUESTS))
        await until(lambda: len(env.runs) == len(sent))
        mean = OWN_REQUESTS / UPSTREAM_COUNT
        assert len(chosen.requests) <= LIMIT_FACTOR * mean + LIMIT_SLACK
        assert sum(map(loads.estimate_load, members)) == len(sent)
        await asyncio.gather(*sent)
