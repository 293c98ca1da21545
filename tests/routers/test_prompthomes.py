from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial

import pytest

from bergamotshed.clock import ManualClock, SystemClock
from bergamotshed.routers.mesh import PeerMesh
from bergamotshed.routers.messages import GatewayHeartbeat
from bergamotshed.routers.prompthomes import RESEND_INTERVAL, PromptHomes
from bergamotshed.routing.cache_source import subject_order
from bergamotshed.routing.view import RouterNode
from tests.waiting import until

NAMES = ('r1', 'r2', 'r3')
READER = ('i-1', 7)
OTHER = ('i-2', 8)


class Router:
    def __init__(self, name: str) -> None:
        self.name = name
        self.clock = ManualClock()
        self.usable: tuple[str, ...] = NAMES
        self.mesh = PeerMesh(
            name, '127.0.0.1:0', SystemClock(), lambda *_: None
        )
        self.homes = PromptHomes(
            name, self.mesh, lambda: self.usable, self.clock
        )

    @property
    def node(self) -> RouterNode:
        return RouterNode(self.name, '', self.mesh.address, 'a')

    async def learns(self, subject: str) -> list[tuple[str, int]]:
        await self.homes.fetch_readers(subject)
        return self.homes.memory.readers(subject)


@asynccontextmanager
async def fleet() -> AsyncIterator[dict[str, Router]]:
    routers = {name: Router(name) for name in NAMES}
    for router in routers.values():
        await router.mesh.start()
    for router in routers.values():
        router.mesh.set_peers(
            [peer.node for peer in routers.values() if peer is not router]
        )
        for peer in NAMES:
            if peer != router.name:
                await until(
                    partial(router.mesh.send, peer, GatewayHeartbeat(True, 1))
                )
    try:
        yield routers
    finally:
        for router in routers.values():
            await router.mesh.close()


def homed_at(name: str) -> str:
    """Return a subject whose home is that router."""
    return next(
        f'p{number}'
        for number in range(100)
        if subject_order(f'p{number}', NAMES)[0] == name
    )


@pytest.mark.parametrize('home', NAMES)
async def test_a_reading_is_known_to_all_who_ask(home: str) -> None:
    # Found on quiet-1: a prompt that another router had sent was read again.
    subject = homed_at(home)
    async with fleet() as routers:
        routers['r1'].homes.record_read(('begin', subject), READER)
        await until(lambda: _known_at_home(routers[home], subject))
        for router in routers.values():
            assert await router.learns(subject) == [READER]


async def test_the_last_reader_comes_first() -> None:
    subject = homed_at('r2')
    async with fleet() as routers:
        for reader in (READER, OTHER):
            routers['r2'].homes.record_read((subject,), reader)
        assert await routers['r1'].learns(subject) == [OTHER, READER]


async def test_a_lost_home_delays_little_and_another_one_is_told() -> None:
    subject = homed_at('r2')
    async with fleet() as routers:
        first, second = routers['r1'], routers['r3']
        first.homes.record_read((subject,), READER)
        await until(lambda: _known_at_home(routers['r2'], subject))
        await routers['r2'].mesh.close()
        assert await second.learns(subject) == []
        for router in (first, second):
            router.usable = ('r1', 'r3')
        first.homes.record_read((subject,), READER)
        await until(lambda: _learned(second, subject))


async def test_a_home_is_told_once_until_it_might_forget() -> None:
    subject = homed_at('r2')
    async with fleet() as routers:
        sender, home = routers['r1'], routers['r2']
        sender.homes.record_read((subject,), READER)
        await until(lambda: _known_at_home(home, subject))
        home.homes._directory._subjects.clear()
        sender.homes.record_read((subject,), READER)
        assert await sender.learns(subject) == [READER]
        assert not _known_at_home(home, subject)
        sender.clock.advance(RESEND_INTERVAL)
        sender.homes.record_read((subject,), READER)
        await until(lambda: _known_at_home(home, subject))


async def test_what_a_home_missed_is_told_again() -> None:
    subject = homed_at('r2')
    async with fleet() as routers:
        sender, home = routers['r1'], routers['r2']
        sender.mesh.set_peers(())
        sender.homes.record_read((subject,), READER)
        sender.mesh.set_peers([home.node])
        await until(partial(sender.mesh.send, 'r2', GatewayHeartbeat(True, 1)))
        sender.homes.record_read((subject,), READER)
        await until(lambda: _known_at_home(home, subject))


async def test_one_router_alone_is_the_home_of_all() -> None:
    alone = Router('r1')
    alone.usable = ()
    alone.homes.record_read(('p',), READER)
    assert await alone.learns('p') == [READER]
    assert await alone.learns('unknown') == []
    await alone.mesh.close()


def _known_at_home(router: Router, subject: str) -> bool:
    return bool(router.homes._directory.readers(subject))


async def _learned(router: Router, subject: str) -> bool:
    return bool(await router.learns(subject))
