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
FIRST_READER = ('i-1', 7)
SECOND_READER = ('i-2', 8)


class Router:
    def __init__(self, name: str) -> None:
        self.name = name
        self.clock = ManualClock()
        self.usable_routers: tuple[str, ...] = NAMES
        self.mesh = PeerMesh(
            name, '127.0.0.1:0', SystemClock(), lambda *_: None
        )
        self.homes = PromptHomes(
            name, self.mesh, lambda: self.usable_routers, self.clock
        )

    @property
    def node(self) -> RouterNode:
        return RouterNode(self.name, '', self.mesh.address, 'a')

    async def fetch_readers(self, subject: str) -> list[tuple[str, int]]:
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


def subject_with_home_at(name: str) -> str:
    """Return a subject that has its home on that router."""
    return next(
        f'p{number}'
        for number in range(100)
        if subject_order(f'p{number}', NAMES)[0] == name
    )


@pytest.mark.parametrize('home', NAMES)
async def test_every_router_finds_a_reader_through_the_home(home: str) -> None:
    # Fails if a prompt is read again although another router's upstream has it.
    subject = subject_with_home_at(home)
    async with fleet() as routers:
        routers['r1'].homes.record_read(('begin', subject), FIRST_READER)
        await until(lambda: _known_at_home(routers[home], subject))
        for router in routers.values():
            assert await router.fetch_readers(subject) == [FIRST_READER]


async def test_the_most_recent_reader_comes_first() -> None:
    subject = subject_with_home_at('r2')
    async with fleet() as routers:
        for reader in (FIRST_READER, SECOND_READER):
            routers['r2'].homes.record_read((subject,), reader)
        assert await routers['r1'].fetch_readers(subject) == [
            SECOND_READER,
            FIRST_READER,
        ]


async def test_reads_are_reported_to_the_next_home_of_a_lost_one() -> None:
    subject = subject_with_home_at('r2')
    async with fleet() as routers:
        sender, asker = routers['r1'], routers['r3']
        sender.homes.record_read((subject,), FIRST_READER)
        await until(lambda: _known_at_home(routers['r2'], subject))
        await routers['r2'].mesh.close()
        assert await asker.fetch_readers(subject) == []
        for router in (sender, asker):
            router.usable_routers = ('r1', 'r3')
        sender.homes.record_read((subject,), FIRST_READER)
        await until(lambda: _can_fetch_readers(asker, subject))


async def test_a_read_is_reported_again_only_after_the_resend_interval() -> (
    None
):
    subject = subject_with_home_at('r2')
    async with fleet() as routers:
        sender, home = routers['r1'], routers['r2']
        sender.homes.record_read((subject,), FIRST_READER)
        await until(lambda: _known_at_home(home, subject))
        home.homes._home_readers._subjects.clear()
        sender.homes.record_read((subject,), FIRST_READER)
        assert await sender.fetch_readers(subject) == [FIRST_READER]
        assert not _known_at_home(home, subject)
        sender.clock.advance(RESEND_INTERVAL)
        sender.homes.record_read((subject,), FIRST_READER)
        await until(lambda: _known_at_home(home, subject))


async def test_a_report_that_was_not_sent_is_repeated() -> None:
    subject = subject_with_home_at('r2')
    async with fleet() as routers:
        sender, home = routers['r1'], routers['r2']
        sender.mesh.set_peers(())
        sender.homes.record_read((subject,), FIRST_READER)
        sender.mesh.set_peers([home.node])
        await until(partial(sender.mesh.send, 'r2', GatewayHeartbeat(True, 1)))
        sender.homes.record_read((subject,), FIRST_READER)
        await until(lambda: _known_at_home(home, subject))


async def test_a_single_router_is_the_home_of_all_subjects() -> None:
    router = Router('r1')
    router.usable_routers = ()
    router.homes.record_read(('p',), FIRST_READER)
    assert await router.fetch_readers('p') == [FIRST_READER]
    assert await router.fetch_readers('unknown') == []
    await router.mesh.close()


def _known_at_home(router: Router, subject: str) -> bool:
    return bool(router.homes._home_readers.readers(subject))


async def _can_fetch_readers(router: Router, subject: str) -> bool:
    return bool(await router.fetch_readers(subject))
