import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta
from functools import partial

from bergamotshed.clock import SystemClock
from bergamotshed.reasons import Refusal
from bergamotshed.routers.gatewayheartbeats import GatewayHeartbeats
from bergamotshed.routers.mesh import PeerMesh
from bergamotshed.routers.messages import GatewayHeartbeat
from bergamotshed.routers.slothomes import SlotHomes
from bergamotshed.routing.brittle import max_in_flight
from bergamotshed.routing.cache_source import subject_order
from bergamotshed.routing.types import Outcome, Placement, PlacementRequest
from bergamotshed.routing.upstream_loads import UpstreamLoads
from bergamotshed.routing.view import RouterNode
from tests.routing.test_affinity import FixedListing, instance
from tests.waiting import until

NAMES = ('r1', 'r2', 'r3')
HOME = subject_order('s', NAMES)[0]
OTHERS = [name for name in NAMES if name != HOME]
SLOTS = 2
CAPACITY = max_in_flight(SLOTS)


def request(**fields: object) -> PlacementRequest:
    arguments: dict[str, object] = {
        'chat': 0,
        'deadline': timedelta(seconds=4),
        'patience': timedelta(milliseconds=200),
        **fields,
    }
    return PlacementRequest('a1', 's', 'o', **arguments)  # type: ignore[arg-type]


class Router:
    def __init__(self, name: str) -> None:
        clock = SystemClock()
        self.name = name
        self.nodes: tuple[RouterNode, ...] = ()
        self.listed = FixedListing(instance('e1', slots=SLOTS))
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
        self.slots = SlotHomes(
            name, self.mesh, self.heartbeats, self.listed, clock
        )

    @property
    def granted_count(self) -> int:
        return sum(
            sum(home.in_flight.values()) for home in self.slots.homes.values()
        )

    async def fill(self) -> list[Placement]:
        placements = [
            await self.slots.reserve(request()) for _ in range(CAPACITY)
        ]
        assert all(isinstance(placement, Placement) for placement in placements)
        return placements  # type: ignore[return-value]


@asynccontextmanager
async def fleet() -> AsyncIterator[dict[str, Router]]:
    routers = {name: Router(name) for name in NAMES}
    for router in routers.values():
        await router.mesh.start()
    nodes = tuple(
        RouterNode(router.name, '', router.mesh.address, 'a')
        for router in routers.values()
    )
    for router in routers.values():
        router.nodes = nodes
        router.heartbeats.tick()
        for name in set(NAMES) - {router.name}:
            await until(
                partial(router.mesh.send, name, GatewayHeartbeat(True, 1))
            )
    try:
        yield routers
    finally:
        for router in routers.values():
            await router.mesh.close()


async def test_all_routers_share_the_slots_of_a_service() -> None:
    async with fleet() as routers:
        assert routers[OTHERS[0]].slots.is_scarce('s')
        placements = await routers[OTHERS[0]].fill()
        assert routers[HOME].granted_count == CAPACITY
        for asker in NAMES:
            refusal = await routers[asker].slots.reserve(request())
            assert isinstance(refusal, Refusal)
            assert refusal.retry_after
        waiting = asyncio.create_task(routers[HOME].slots.reserve(request()))
        routers[OTHERS[0]].slots.release(placements[0], Outcome.DONE)
        assert isinstance(await waiting, Placement)


async def test_a_service_with_a_slot_for_each_router_needs_no_home() -> None:
    async with fleet() as routers:
        router = routers['r1']
        router.listed.instances['e1'] = instance('e1', slots=len(NAMES))
        assert not router.slots.is_scarce('s')
        assert not router.slots.is_scarce('unknown')


async def test_reserve_returns_none_when_the_home_does_not_answer() -> None:
    async with fleet() as routers:
        await routers[HOME].mesh.close()
        assert await routers[OTHERS[0]].slots.reserve(request()) is None


async def test_a_slot_granted_to_a_cancelled_request_is_released() -> None:
    async with fleet() as routers:
        asker, home = routers[OTHERS[0]], routers[HOME]
        placements = await asker.fill()
        waiting = asyncio.create_task(asker.slots.reserve(request()))
        await until(lambda: home.slots.homes['s'].waiting)
        waiting.cancel()
        asker.slots.release(placements[0], Outcome.DONE)
        await until(lambda: home.granted_count == CAPACITY - 1)


async def test_a_slot_on_an_upstream_unknown_to_the_asker_is_released() -> None:
    async with fleet() as routers:
        asker, home = routers[OTHERS[0]], routers[HOME]
        asker.listed.instances = {'e2': instance('e2', slots=SLOTS)}
        assert await asker.slots.reserve(request()) is None
        await until(lambda: home.granted_count == 0)


async def test_the_slots_of_a_silent_router_are_released() -> None:
    async with fleet() as routers:
        home = routers[HOME]
        await routers[OTHERS[0]].fill()
        home.heartbeats._silent_routers = frozenset(OTHERS)
        home.slots.release_silent_routers()
        assert home.granted_count == 0
