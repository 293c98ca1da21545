"""Upstreams that state in their answers that they leave."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import pytest

from tests.standins.keyedstore import KeyedStoreStandIn
from tests.standins.rawupstream import RawRequest, RawUpstream, sealed_answer
from tests.waiting import until

from .members import Member, start_member, wait_until_acquainted
from .scripts import fine
from .support import (
    UPSTREAMS,
    GatewayEnvironment,
    Script,
    running_gateway,
    send_request,
    upstream_entry,
)
from .test_process import gateway_process, publish_all
from .test_streams import EVENTS, events

LEAVING = 'Server-Leaving: 1'
#: Time until the peers know, at the latest; the users allow two seconds.
TOLD_WITHIN_S = 1.5


async def leaves(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(sealed_answer(request, b'fine', extra=LEAVING))


async def fails(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    status = '500 Internal Server Error'
    writer.write(sealed_answer(request, b'no', status, extra=LEAVING))


async def refuses(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    extra = f'Bergamotshed-Not-Executed: 1\r\n{LEAVING}'
    status = '503 Service Unavailable'
    writer.write(sealed_answer(request, b'', status, extra=extra))


async def streams(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    head = f'{EVENTS}\r\n{LEAVING}'
    writer.write(sealed_answer(request, events(0, 3), extra=head))


SCRIPTS = {
    'answer': (leaves, '/once/a'),
    'failure': (fails, '/once/a'),
    'refusal': (refuses, '/twice/a'),
    'stream': (streams, '/resumed/a'),
}


async def send_many(ports: list[int], path: str, count: int) -> list[int]:
    """Send requests to the routers in turn; return the statuses."""
    return [
        (
            await send_request(
                ports[number % len(ports)], path, attempt=f'a{number}'
            )
        ).status
        for number in range(count)
    ]


@pytest.mark.parametrize('name', SCRIPTS)
async def test_an_upstream_that_leaves_gets_no_more_requests(
    name: str,
) -> None:
    script, path = SCRIPTS[name]
    async with running_gateway(script, script, fine) as env:
        await send_many([env.port], path, 20)
        for leaving in env.upstreams[:2]:
            assert len(leaving.requests) <= 1
        assert len(env.upstreams[2].requests) >= 18


async def test_the_entry_of_the_store_does_not_bring_it_back() -> None:
    async with running_gateway(leaves, fine) as env:
        await send_many([env.port], '/once/a', 20)
        left, other = env.upstreams
        count = len(left.requests)
        assert count == 1
        entry = upstream_entry(left.address)
        env.store.put(UPSTREAMS, 'i-0', {**entry, 'sequence': 2})
        registry = env.gateway.fleet.registry
        await until(lambda: registry.instances['i-0'].sequence == 2)
        await send_many([env.port], '/once/a', 10)
        assert len(left.requests) == count
        # Another start of it is free at once.
        left.script = fine
        env.store.put(UPSTREAMS, 'i-0', {**entry, 'born': 2})
        await until(lambda: len(registry.members('s')) == 2)
        await send_many([env.port], '/once/a', 40)
        assert len(left.requests) > count
        assert other.requests


async def test_a_service_whose_upstreams_all_leave_is_refused_at_once() -> None:
    async with running_gateway(leaves) as env:
        assert (await send_request(env.port, '/once/a')).status == 200
        refused = await send_request(env.port, '/once/a', attempt='a2')
        assert refused.status == 503
        assert float(refused.headers['retry-after']) > 0
        assert len(env.runs) == 1


@asynccontextmanager
async def three_routers(
    *scripts: Script,
) -> AsyncIterator[tuple[GatewayEnvironment, list[Member]]]:
    async with AsyncExitStack() as stack:
        env = await stack.enter_async_context(running_gateway(*scripts))
        members = [
            await start_member(stack, env, name)
            for name in ('gw-a', 'gw-b', 'gw-c')
        ]
        await wait_until_acquainted(members)
        yield env, members


async def test_peers_learn_that_an_upstream_leaves_without_the_store() -> None:
    async with three_routers(leaves, fine) as (env, members):
        for member in members:
            member.way_to_store.cut()
        left = env.upstreams[0]
        await send_many([members[0].port], '/once/a', 20)
        assert len(left.requests) == 1
        await asyncio.sleep(TOLD_WITHIN_S)
        ports = [member.port for member in members]
        await send_many(ports, '/once/a', 60)
        assert len(left.requests) == 1


@pytest.mark.processes
async def test_a_gateway_process_heeds_that_an_upstream_leaves(
    tmp_path: Path,
) -> None:
    async with (
        KeyedStoreStandIn().serving() as store,
        RawUpstream(leaves).serving() as left,
        RawUpstream(fine).serving() as other,
        gateway_process(tmp_path, store.address) as gateway,
    ):
        publish_all(store, [left, other], 1000)
        await until(gateway.is_ready)
        await send_many([gateway.ports['callers']], '/once/a', 30)
        assert len(left.requests) == 1
        assert len(other.requests) == 29
