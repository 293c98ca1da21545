"""Asking the homes of upstreams over the sockets between routers."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta
from functools import partial

from bergamotshed.clock import SystemClock
from bergamotshed.routers.gatewayheartbeats import GatewayHeartbeats
from bergamotshed.routers.homes import home_of_upstream
from bergamotshed.routers.loadhomes import LoadHomes
from bergamotshed.routers.loadmessages import LoadRequest
from bergamotshed.routers.mesh import PeerMesh
from bergamotshed.routers.messages import GatewayHeartbeat, Message
from bergamotshed.routing.load_home import MIN_ROUTERS
from bergamotshed.routing.types import LoadGrant
from bergamotshed.routing.upstream_loads import UpstreamLoads, upstream_key
from bergamotshed.routing.view import RouterNode
from tests.routing.test_affinity import instance
from tests.waiting import until

UPSTREAM = instance('e1')
LIFETIME = timedelta(seconds=5)
BOUND = 1.5
NAMES = tuple(f'r{number}' for number in range(MIN_ROUTERS))
HOME = home_of_upstream(UPSTREAM.incarnation, NAMES)
ASKER = next(name for name in NAMES if name != HOME)


class Router:
    def __init__(self, name: str) -> None:
        clock = SystemClock()
        self.nodes: tuple[RouterNode, ...] = ()
        self.mesh = PeerMesh(name, '127.0.0.1:0', clock, lambda *_: None)
        self.heartbeats = GatewayHeartbeats(
            self.mesh,
            name,
            lambda: self.nodes,
            lambda: GatewayHeartbeat(True, 1),
            lambda _version: None,
            UpstreamLoads(clock),
            clock,
        )
        self.loads = LoadHomes(name, self.mesh, self.heartbeats, clock)

    async def acquire(self) -> LoadGrant | None:
        return await self.loads.acquire(UPSTREAM, BOUND, LIFETIME)

    @property
    def count(self) -> int:
        return self.loads.home.count(UPSTREAM.name)


@asynccontextmanager
async def home_and_asker(*listed: str) -> AsyncIterator[tuple[Router, Router]]:
    """Run the home and another router; the others are only listed."""
    home, asker = Router(HOME), Router(ASKER)
    addresses = {}
    for name, router in ((HOME, home), (ASKER, asker)):
        await router.mesh.start()
        addresses[name] = router.mesh.address
    nodes = tuple(
        RouterNode(name, '', addresses.get(name, '127.0.0.1:1'), 'a')
        for name in listed or NAMES
    )
    for router, peer in ((home, ASKER), (asker, HOME)):
        router.nodes = nodes
        router.heartbeats.tick()
        await until(partial(router.mesh.send, peer, GatewayHeartbeat(True, 1)))
    try:
        yield home, asker
    finally:
        await home.mesh.close()
        await asker.mesh.close()


async def test_the_bound_holds_over_all_routers() -> None:
    async with home_and_asker() as (home, asker):
        grants = [await asker.acquire(), await home.acquire()]
        denied = await asker.acquire()
        assert denied == LoadGrant(0, 2, HOME)
        for router, grant in zip((asker, home), grants, strict=True):
            assert grant is not None
            router.loads.release(grant)
        await until(lambda: home.count == 0)


async def test_a_small_fleet_asks_nobody() -> None:
    async with home_and_asker(*NAMES[:-1]) as (_, asker):
        assert await asker.acquire() is None


async def test_what_the_routers_told_each_other_counts_at_a_new_home() -> None:
    async with home_and_asker() as (home, asker):
        key = upstream_key(UPSTREAM.incarnation)
        home.heartbeats.loads.peers.record('r9', ((key, 3),))
        assert await asker.acquire() == LoadGrant(0, 3, HOME)


async def test_a_silent_home_is_not_waited_for_again_at_once() -> None:
    async with home_and_asker() as (home, asker):
        asked = []

        async def keep_silent(_peer: str, _request: LoadRequest) -> Message:
            asked.append(1)
            await asyncio.sleep(30)
            raise AssertionError

        home.mesh.on_question(LoadRequest, keep_silent)
        assert await asker.acquire() is None
        assert await asker.acquire() is None
        assert len(asked) == 1


async def test_a_caller_who_leaves_while_a_home_is_asked_leaves_no_grant() -> (
    None
):
    async with home_and_asker() as (home, asker):
        for _ in range(20):
            asking = asyncio.create_task(asker.acquire())
            await asyncio.sleep(0.001)
            asking.cancel()
            results = await asyncio.gather(asking, return_exceptions=True)
            if isinstance(results[0], LoadGrant):
                asker.loads.release(results[0])
        await until(lambda: home.count == 0)
        grant = await asker.acquire()
        assert grant is not None
        assert grant.in_flight == 0
