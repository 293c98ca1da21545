import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta
from functools import partial

from bergamotshed.clock import SystemClock
from bergamotshed.reasons import Refusal
from bergamotshed.routers.mesh import PeerMesh
from bergamotshed.routers.messages import GatewayHeartbeat
from bergamotshed.routers.pulse import GatewayHeartbeats
from bergamotshed.routers.slothomes import SlotHomes
from bergamotshed.routing.cache_source import subject_order
from bergamotshed.routing.slothome import max_in_flight
from bergamotshed.routing.types import Outcome, Placement, PlacementRequest
from bergamotshed.routing.view import RouterNode
from tests.routing.test_affinity import FixedListing, instance
from tests.waiting import until

NAMES = ('r1', 'r2', 'r3')
HOME = subject_order('s', NAMES)[0]
OTHERS = [name for name in NAMES if name != HOME]
SLOTS = 2
ROOM = max_in_flight(SLOTS)


def asked(**fields: object) -> PlacementRequest:
    known: dict[str, object] = {
        'chat': 0,
        'deadline': timedelta(seconds=4),
        'patience': timedelta(milliseconds=200),
        **fields,
    }
    return PlacementRequest('a1', 's', 'o', **known)  # type: ignore[arg-type]


class Router:
    def __init__(self, name: str) -> None:
        clock = SystemClock()
        self.name = name
        self.nodes: tuple[RouterNode, ...] = ()
        self.listed = FixedListing(instance('e1', slots=SLOTS))
        self.mesh = PeerMesh(name, '127.0.0.1:0', clock, lambda *_: None)
        self.pulse = GatewayHeartbeats(
            self.mesh,
            name,
            lambda: self.nodes,
            lambda: GatewayHeartbeat(True, 1),
            clock,
        )
        self.slots = SlotHomes(name, self.mesh, self.pulse, self.listed, clock)

    @property
    def granted(self) -> int:
        return sum(
            sum(home.in_flight.values()) for home in self.slots.homes.values()
        )

    async def fill(self) -> list[Placement]:
        placed = [await self.slots.reserve(asked()) for _ in range(ROOM)]
        assert all(isinstance(one, Placement) for one in placed)
        return placed  # type: ignore[return-value]


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
        router.pulse.tick()
        for name in set(NAMES) - {router.name}:
            await until(
                partial(router.mesh.send, name, GatewayHeartbeat(True, 1))
            )
    try:
        yield routers
    finally:
        for router in routers.values():
            await router.mesh.close()


async def test_all_routers_share_the_slots_of_one_home() -> None:
    async with fleet() as routers:
        assert routers[OTHERS[0]].slots.is_scarce('s')
        placed = await routers[OTHERS[0]].fill()
        assert routers[HOME].granted == ROOM
        for asker in NAMES:
            refused = await routers[asker].slots.reserve(asked())
            assert isinstance(refused, Refusal)
            assert refused.retry_after
        waiting = asyncio.create_task(routers[HOME].slots.reserve(asked()))
        routers[OTHERS[0]].slots.release(placed[0], Outcome.DONE)
        assert isinstance(await waiting, Placement)


async def test_a_service_with_a_slot_for_each_router_needs_no_home() -> None:
    async with fleet() as routers:
        router = routers['r1']
        router.listed.instances['e1'] = instance('e1', slots=len(NAMES))
        assert not router.slots.is_scarce('s')
        assert not router.slots.is_scarce('unknown')


async def test_without_an_answer_routers_choose_alone() -> None:
    async with fleet() as routers:
        await routers[HOME].mesh.close()
        assert await routers[OTHERS[0]].slots.reserve(asked()) is None


async def test_a_slot_granted_too_late_is_given_back() -> None:
    async with fleet() as routers:
        asker, home = routers[OTHERS[0]], routers[HOME]
        placed = await asker.fill()
        waiting = asyncio.create_task(asker.slots.reserve(asked()))
        await until(lambda: home.slots.homes['s'].waiting)
        waiting.cancel()
        asker.slots.release(placed[0], Outcome.DONE)
        await until(lambda: home.granted == ROOM - 1)


async def test_an_upstream_that_the_asker_does_not_know_is_given_back() -> None:
    async with fleet() as routers:
        asker, home = routers[OTHERS[0]], routers[HOME]
        asker.listed.instances = {'e2': instance('e2', slots=SLOTS)}
        assert await asker.slots.reserve(asked()) is None
        await until(lambda: home.granted == 0)


async def test_what_a_silent_router_held_is_given_back() -> None:
    async with fleet() as routers:
        home = routers[HOME]
        await routers[OTHERS[0]].fill()
        home.pulse._silent = frozenset(OTHERS)
        home.slots.tidy()
        assert home.granted == 0
