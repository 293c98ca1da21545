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
    """One router's part of the peers' protocol, without callers."""

    def __init__(self, name: str) -> None:
        clock = SystemClock()
        self.name = name
        self.configuration = ConfigurationInForce()
        self.configuration.advance(1, FLEET)
        self.mesh = PeerMesh(name, '127.0.0.1:0', clock, lambda *_: None)
        self.clock = clock
        self.beating: asyncio.Task[None] | None = None

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
        if self.beating is not None:
            self.beating.cancel()
        await self.mesh.close()

    def count(self) -> int:
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
        router.beating = asyncio.create_task(router.heartbeats.run())
    await until(
        lambda: all(len(r.view.config_versions()) == 3 for r in routers)
    )
    # The first unsuccessful connections may have made routers suspect.
    await until(lambda: len({home(r) for r in routers}) == 1)
    try:
        yield routers
    finally:
        for router in routers:
            await router.close()


def home(router: Router) -> str | None:
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
    asked = [
        (routers[number % len(routers)], request(number, deadline_s))
        for number in numbers
    ]
    decided = await asyncio.gather(
        *(router.placer.place(wanted) for router, wanted in asked)
    )
    return [
        (*pair, placed)
        for pair, placed in zip(asked, decided, strict=True)
        if isinstance(placed, Placement)
    ]


def release(held: list[tuple[Router, PlacementRequest, Placement]]) -> None:
    for router, wanted, placement in held:
        router.placer.release(wanted, placement, Outcome.DONE)


def split(routers: list[Router]) -> tuple[Router, list[Router]]:
    name = home(routers[0])
    keeper = next(router for router in routers if router.name == name)
    return keeper, [router for router in routers if router is not keeper]


async def test_four_routers_place_like_one() -> None:
    async with fleet() as routers:
        keeper, _ = split(routers)
        held = await place(routers, range(27))
        loads = Counter(placed.upstream.name for *_, placed in held)
        assert len(held) == 27
        assert {placed.home for *_, placed in held} == {keeper.name}
        assert max(loads.values()) <= 4
        assert keeper.count() == 27
        release(held)
        await until(lambda: keeper.count() == 0)


async def test_a_request_waits_at_its_home_beyond_the_first_timeout() -> None:
    async with fleet() as routers:
        _, others = split(routers)
        held = await place(routers, range(4 * ENGINES))
        assert len(held) == 4 * ENGINES
        waiting = asyncio.create_task(others[0].placer.place(request(99)))
        await asyncio.sleep(0.4)
        assert not waiting.done()
        release(held[:1])
        assert isinstance(await waiting, Placement)
        assert others[0].placer.counters.silent == 0


async def test_a_caller_that_goes_away_leaves_the_homes_queue() -> None:
    async with fleet() as routers:
        keeper, others = split(routers)
        held = await place(routers, range(4 * ENGINES))
        wanted = request(99, deadline_s=60)
        waiting = asyncio.create_task(others[0].placer.place(wanted))
        state = keeper.local.home(SERVICE, 0).state
        await until(lambda: sum(state().waiting.values()) == 1)
        waiting.cancel()
        await until(lambda: sum(state().waiting.values()) == 0)
        release(held)
        await until(lambda: keeper.count() == 0)


@pytest.mark.parametrize('vectors_are_pushed', [True, False])
async def test_the_next_home_knows_what_the_lost_one_granted(
    vectors_are_pushed: bool,
) -> None:
    async with fleet() as routers:
        keeper, others = split(routers)
        held = await place(others, range(24))
        await keeper.close()
        for router in others:
            if router.beating is not None and not vectors_are_pushed:
                router.beating.cancel()
        more = await place(others, range(100, 112))
        loads = Counter(placed.upstream.name for *_, placed in held + more)
        assert len(more) == 12
        assert max(loads.values()) <= 5
        await until(lambda: len({home(r) for r in others}) == 1)
        heir, _ = split(others)
        assert heir is not keeper
        await until(lambda: heir.count() == 36)
        release(held + more)
        await until(lambda: heir.count() == 0)


async def test_the_next_home_learns_where_the_lost_one_sent_chats() -> None:
    async with fleet() as routers:
        keeper, others = split(routers)
        held = await place(others, range(24))
        release(held)
        await until(lambda: keeper.count() == 0)
        await keeper.close()
        await place(others, range(100, 103))
        await until(lambda: len({home(r) for r in others}) == 1)
        heir, _ = split(others)
        memory = heir.local.home(SERVICE, 0).memory
        await until(lambda: len(memory) >= 24)
        for _, wanted, placed in held:
            known = memory.recall(wanted.chat)
            assert known is not None
            assert known.upstream == placed.upstream.name


async def test_without_any_home_a_router_keeps_to_its_share(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with fleet() as routers:
        keeper, others = split(routers)
        alone = others[0]
        monkeypatch.setattr(alone.placer, '_ask', _no_answer)
        held = []
        for number in range(2 * ENGINES + 2):
            held += await place([alone], range(number, number + 1), 0.1)
        assert len(held) == 2 * ENGINES
        assert alone.placer.counters.fallback == 2 * ENGINES + 2
        release(held)
        again = await place([alone], range(100, 109), deadline_s=0.1)
        assert len(again) == 9
        alone.placer.home_manager.send_counts((SERVICE, 0))
        await until(lambda: keeper.count() == 9)


async def _no_answer(*_: Any) -> None:
    return None


async def test_a_leaving_home_hands_its_memory_and_counts_on() -> None:
    async with fleet() as routers:
        keeper, others = split(routers)
        held = await place(routers, range(12))
        release(held[:6])
        await until(lambda: len(keeper.local.home(SERVICE, 0).memory) == 12)
        await keeper.heartbeats.announce()
        await until(lambda: home(others[0]) != keeper.name)
        await until(lambda: len({home(router) for router in routers}) == 1)
        heir, _ = split(routers)
        await until(lambda: len(heir.local.home(SERVICE, 0).memory) == 12)
        more = await place(routers, range(100, 106))
        assert {placed.home for *_, placed in more} == {heir.name}
        await until(lambda: heir.count() == 12)
        release(held[6:] + more)
        await until(lambda: heir.count() == 0)


async def test_a_place_that_came_too_late_is_given_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with fleet() as routers:
        keeper, others = split(routers)
        local = keeper.local.home(SERVICE, 0)
        granted = local.place

        async def late(*arguments: Any) -> Placement | Refusal:
            placed = await granted(*arguments)
            keeper.mesh._inbox._reply = lambda *_: None  # type: ignore[method-assign]
            return placed

        reply = keeper.mesh._inbox._reply
        monkeypatch.setattr(local, 'place', late)
        await others[0].placer.place(request(1))
        assert others[0].placer.counters.fallback == 1
        keeper.mesh._inbox._reply = reply  # type: ignore[method-assign]
        monkeypatch.undo()
        held = await place(others[:1], range(2, 3))
        await until(lambda: keeper.count() == 2)
        release(held)
