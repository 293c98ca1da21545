import asyncio
import random
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta
from typing import Any

import pytest

from bergamotshed.clock import SystemClock
from bergamotshed.control.types import ConfigurationInForce
from bergamotshed.fleet import Fleet, LiveModel, Organisation, Service
from bergamotshed.reasons import Refusal
from bergamotshed.routers.heartbeats import Heartbeats
from bergamotshed.routers.mesh import PeerMesh
from bergamotshed.routers.placer import HomePlacer
from bergamotshed.routing.health import UpstreamHealth
from bergamotshed.routing.local import LocalPlacer
from bergamotshed.routing.membership import Membership
from bergamotshed.routing.types import (
    Outcome,
    Placement,
    PlacementRequest,
    Upstream,
)
from bergamotshed.routing.view import RouterNode
from tests.waiting import until

SERVICE = 'drafting'
ENGINES = 9
FLEET = Fleet(
    services=(
        Service(
            name=SERVICE,
            models=(LiveModel(name='m', version='1'),),
            slots=4,
        ),
    ),
    organisations=(Organisation(name='o', services=(SERVICE,)),),
)


class Router:
    """The placement part of a router: mesh, placer and heartbeats."""

    def __init__(self, name: str) -> None:
        clock = SystemClock()
        self.name = name
        self.configuration = ConfigurationInForce()
        self.configuration.advance(1, FLEET)
        self.mesh = PeerMesh(name, '127.0.0.1:0', clock, lambda *_: None)
        self.clock = clock
        self.heartbeat_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        await self.mesh.start()
        node = RouterNode(self.name, '', self.mesh.address, 'a')
        self.view = Membership(
            node, self.clock, UpstreamHealth(self.name, self.clock)
        )
        rng = random.Random(self.name)
        arguments: tuple[Any, ...] = (
            self.configuration,
            self.view,
            self.clock,
            rng,
        )
        self.local = LocalPlacer(*arguments, router=self.name)
        self.placer = HomePlacer(
            self.name,
            self.mesh,
            self.view,
            self.local,
            LocalPlacer(*arguments, router=self.name, share=0.5),
            self.configuration,
            self.clock,
        )
        self.heartbeats = Heartbeats(
            self.mesh, self.view, self.placer, self.configuration, self.clock
        )

    async def close(self) -> None:
        if self.heartbeat_task is not None:
            self.heartbeat_task.cancel()
        await self.mesh.close()

    def in_flight_count(self) -> int:
        home = self.local.home(SERVICE, 0)
        return sum(home.state().in_flight.values())


@asynccontextmanager
async def fleet() -> AsyncIterator[list[Router]]:
    routers = [Router(name) for name in 'abcd']
    for router in routers:
        await router.start()
    nodes = [router.view.node for router in routers]
    upstreams = [
        Upstream(f'e{number}', SERVICE, f'10.0.0.{number}:1', 'a')
        for number in range(ENGINES)
    ]
    for router in routers:
        router.view.update_list(upstreams, nodes)
        router.heartbeat_task = asyncio.create_task(router.heartbeats.run())
    await until(
        lambda: all(len(r.view.config_versions()) == 3 for r in routers)
    )
    # Connections that failed before all peers listened may have made routers
    # suspect.
    await until(lambda: len({home_name(r) for r in routers}) == 1)
    try:
        yield routers
    finally:
        for router in routers:
            await router.close()


def home_name(router: Router) -> str | None:
    return router.placer.homes.home_of((SERVICE, 0))


def request(number: int, deadline_s: float = 5) -> PlacementRequest:
    return PlacementRequest(
        request=f'{number:032x}',
        service=SERVICE,
        organisation='o',
        chat=random.Random(number).getrandbits(64),
        model='m',
        deadline=timedelta(seconds=deadline_s),
    )


async def place(
    routers: list[Router], numbers: range, deadline_s: float = 5
) -> list[tuple[Router, PlacementRequest, Placement]]:
    requests = [
        (routers[number % len(routers)], request(number, deadline_s))
        for number in numbers
    ]
    results = await asyncio.gather(
        *(
            router.placer.place(placement_request)
            for router, placement_request in requests
        )
    )
    return [
        (*pair, placement)
        for pair, placement in zip(requests, results, strict=True)
        if isinstance(placement, Placement)
    ]


def release(held: list[tuple[Router, PlacementRequest, Placement]]) -> None:
    for router, placement_request, placement in held:
        router.placer.release(placement_request, placement, Outcome.DONE)


def home_and_others(routers: list[Router]) -> tuple[Router, list[Router]]:
    name = home_name(routers[0])
    home_router = next(router for router in routers if router.name == name)
    return home_router, [
        router for router in routers if router is not home_router
    ]


async def test_all_routers_place_through_the_same_home() -> None:
    async with fleet() as routers:
        home_router, _ = home_and_others(routers)
        held = await place(routers, range(27))
        loads = Counter(placement.upstream.name for *_, placement in held)
        assert len(held) == 27
        assert {placement.home for *_, placement in held} == {home_router.name}
        assert max(loads.values()) <= 4
        assert home_router.in_flight_count() == 27
        release(held)
        await until(lambda: home_router.in_flight_count() == 0)


async def test_a_request_may_wait_at_its_home_beyond_the_timeout() -> None:
    async with fleet() as routers:
        _, others = home_and_others(routers)
        held = await place(routers, range(4 * ENGINES))
        assert len(held) == 4 * ENGINES
        waiting = asyncio.create_task(others[0].placer.place(request(99)))
        await asyncio.sleep(0.4)
        assert not waiting.done()
        release(held[:1])
        assert isinstance(await waiting, Placement)
        assert others[0].placer.counters.silent == 0


async def test_a_cancelled_request_leaves_the_queue_of_its_home() -> None:
    async with fleet() as routers:
        home_router, others = home_and_others(routers)
        held = await place(routers, range(4 * ENGINES))
        placement_request = request(99, deadline_s=60)
        waiting = asyncio.create_task(others[0].placer.place(placement_request))
        state = home_router.local.home(SERVICE, 0).state
        await until(lambda: sum(state().waiting.values()) == 1)
        waiting.cancel()
        await until(lambda: sum(state().waiting.values()) == 0)
        release(held)
        await until(lambda: home_router.in_flight_count() == 0)


@pytest.mark.parametrize('vectors_are_pushed', [True, False])
async def test_the_new_home_counts_the_grants_of_a_lost_one(
    vectors_are_pushed: bool,
) -> None:
    async with fleet() as routers:
        home_router, others = home_and_others(routers)
        held = await place(others, range(24))
        await home_router.close()
        for router in others:
            if router.heartbeat_task is not None and not vectors_are_pushed:
                router.heartbeat_task.cancel()
        more = await place(others, range(100, 112))
        loads = Counter(
            placement.upstream.name for *_, placement in held + more
        )
        assert len(more) == 12
        assert max(loads.values()) <= 5
        await until(lambda: len({home_name(r) for r in others}) == 1)
        new_home, _ = home_and_others(others)
        assert new_home is not home_router
        await until(lambda: new_home.in_flight_count() == 36)
        release(held + more)
        await until(lambda: new_home.in_flight_count() == 0)


async def test_the_new_home_learns_the_chat_memory_of_a_lost_one() -> None:
    async with fleet() as routers:
        home_router, others = home_and_others(routers)
        held = await place(others, range(24))
        release(held)
        await until(lambda: home_router.in_flight_count() == 0)
        await home_router.close()
        await place(others, range(100, 103))
        await until(lambda: len({home_name(r) for r in others}) == 1)
        new_home, _ = home_and_others(others)
        memory = new_home.local.home(SERVICE, 0).memory
        await until(lambda: len(memory) >= 24)
        for _, placement_request, placement in held:
            known = memory.recall(placement_request.chat)
            assert known is not None
            assert known.upstream == placement.upstream.name


async def test_without_a_home_a_router_keeps_within_its_share(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with fleet() as routers:
        home_router, others = home_and_others(routers)
        router = others[0]
        monkeypatch.setattr(router.placer, '_ask_home', _no_answer)
        held = []
        for number in range(2 * ENGINES + 2):
            held += await place([router], range(number, number + 1), 0.1)
        assert len(held) == 2 * ENGINES
        assert router.placer.counters.fallback == 2 * ENGINES + 2
        release(held)
        again = await place([router], range(100, 109), deadline_s=0.1)
        assert len(again) == 9
        router.placer.home_manager.send_counts((SERVICE, 0))
        await until(lambda: home_router.in_flight_count() == 9)


async def _no_answer(*_: Any) -> None:
    return None


async def test_a_leaving_home_hands_over_its_memory_and_counts() -> None:
    async with fleet() as routers:
        home_router, others = home_and_others(routers)
        held = await place(routers, range(12))
        release(held[:6])
        await until(
            lambda: len(home_router.local.home(SERVICE, 0).memory) == 12
        )
        await home_router.heartbeats.announce_leaving()
        await until(lambda: home_name(others[0]) != home_router.name)
        await until(lambda: len({home_name(router) for router in routers}) == 1)
        new_home, _ = home_and_others(routers)
        await until(lambda: len(new_home.local.home(SERVICE, 0).memory) == 12)
        more = await place(routers, range(100, 106))
        assert {placement.home for *_, placement in more} == {new_home.name}
        await until(lambda: new_home.in_flight_count() == 12)
        release(held[6:] + more)
        await until(lambda: new_home.in_flight_count() == 0)


async def test_a_placement_whose_answer_was_lost_is_released(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with fleet() as routers:
        home_router, others = home_and_others(routers)
        local = home_router.local.home(SERVICE, 0)
        original_place = local.place

        async def place_without_reply(*arguments: Any) -> Placement | Refusal:
            placement = await original_place(*arguments)
            home_router.mesh._inbox._reply = lambda *_: None  # type: ignore[method-assign]
            return placement

        reply = home_router.mesh._inbox._reply
        monkeypatch.setattr(local, 'place', place_without_reply)
        await others[0].placer.place(request(1))
        assert others[0].placer.counters.fallback == 1
        home_router.mesh._inbox._reply = reply  # type: ignore[method-assign]
        monkeypatch.undo()
        held = await place(others[:1], range(2, 3))
        await until(lambda: home_router.in_flight_count() == 2)
        release(held)
