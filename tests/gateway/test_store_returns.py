"""Gateways before a store that comes back from an older copy."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from datetime import timedelta

from bergamotshed.store.follower import wait_until_listed
from tests.standins.rawupstream import RawUpstream
from tests.waiting import until

from .members import Member, start_member
from .scripts import fine
from .support import (
    UPSTREAMS,
    GatewayEnvironment,
    running_gateway,
    send_request,
    upstream_entry,
)

ROUTERS = 'keyed.routers'


@asynccontextmanager
async def running_members(
    *names: str,
) -> AsyncIterator[tuple[GatewayEnvironment, AsyncExitStack, list[Member]]]:
    async with AsyncExitStack() as stack:
        env = await stack.enter_async_context(running_gateway(fine))
        env.store.era = 1
        members = [await start_member(stack, env, name) for name in names]
        yield env, stack, members


async def test_records_with_the_offsets_of_lost_ones_are_seen() -> None:
    async with running_members('gw-1', 'gw-2') as (env, stack, members):
        copy = env.store.copy()
        for number in range(3):
            entry = {**upstream_entry('127.0.0.1:1'), 'sequence': number + 2}
            env.store.put(UPSTREAMS, 'i-lost', entry)
        registries = [member.gateway.fleet.registry for member in members]
        await until(
            lambda: all('i-lost' in known.instances for known in registries)
        )
        env.store.return_from(copy)
        added = await stack.enter_async_context(RawUpstream(fine).serving())
        for number in range(5):
            entry = {**upstream_entry(added.address), 'sequence': number + 2}
            env.store.put(UPSTREAMS, 'i-new', entry)
        await until(
            lambda: all(
                {'i-0', 'i-new'} <= known.instances.keys()
                for known in registries
            )
        )
        # The lost upstream has not registered again.
        await until(
            lambda: all(
                [member.name for member in known.members('s')]
                == ['i-0', 'i-new']
                for known in registries
            )
        )
        assert all(
            member.gateway.fleet.store_health.return_count for member in members
        )


async def test_no_upstream_is_missing_while_they_register_again() -> None:
    async with running_members('gw-1') as (env, _, (member,)):
        env.store.return_from({})
        for _ in range(20):
            response = await send_request(member.port, '/open/a')
            assert response.status == 200
            await asyncio.sleep(0.02)


async def test_a_lost_router_entry_is_written_again() -> None:
    async with running_members('gw-1', 'gw-2') as (env, _, members):
        rosters = [member.gateway.fleet.roster for member in members]
        await until(lambda: all(len(known.entries) == 2 for known in rosters))
        env.store.return_from({})
        names = {'gw-1', 'gw-2'}
        async with asyncio.timeout(10):
            while not names <= dict(env.store.records.get(ROUTERS, ())).keys():
                assert all(len(known.entries) == 2 for known in rosters)
                await asyncio.sleep(0.01)


async def test_a_key_stays_revoked_though_the_store_lost_its_revocation() -> (
    None
):
    async with running_members('gw-1') as (env, stack, (member,)):
        copy = env.store.copy()
        env.keys[:] = ['another key']
        env.configure()
        await until(lambda: member.gateway.fleet.routing.version == env.version)
        env.store.return_from(copy)
        for _ in range(10):
            response = await send_request(member.port, '/once/a')
            assert response.status in {401, 503}
            await asyncio.sleep(0.05)
        # A router that starts meanwhile reads the version that has the key.
        started = await start_member(stack, env, 'gw-3', until_ready=False)
        followers = started.gateway.fleet.followers.values()
        await wait_until_listed(followers, timedelta(seconds=5))
        await started.gateway.learn_newest_version()
        response = await send_request(started.port, '/once/a')
        assert response.status == 503
        env.configure()
        await until(started.gateway.is_ready)
        response = await send_request(started.port, '/once/a')
        assert response.status == 401
