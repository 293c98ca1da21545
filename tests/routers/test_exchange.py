import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from functools import partial

import pytest

from bergamotshed.clock import SystemClock
from bergamotshed.control.types import ConfigurationInForce
from bergamotshed.fleet import Fleet, Organisation
from bergamotshed.routers.configuration import (
    ConfigurationExchange,
    pack_fleet,
    unpack_fleet,
)
from bergamotshed.routers.crashes import CrashExchange
from bergamotshed.routers.errors import PeerMessageError
from bergamotshed.routers.mesh import PeerMesh
from bergamotshed.routers.messages import Hello
from bergamotshed.routing.health import UpstreamHealth
from bergamotshed.routing.membership import Membership, PeerReport
from bergamotshed.routing.quarantine import Crash, FingerprintStatus, Quarantine
from bergamotshed.routing.view import RouterNode
from tests.waiting import until


class Router:
    def __init__(self, name: str, incarnation: int = 1) -> None:
        self.name = name
        clock = SystemClock()
        self.mesh = PeerMesh(
            name, '127.0.0.1:0', clock, lambda *_: None, incarnation
        )
        node = RouterNode(name, '', '', 'z')
        self.view = Membership(node, clock, UpstreamHealth(name, clock))
        self.configuration = ConfigurationInForce()
        self.exchange = ConfigurationExchange(
            self.mesh, self.view, self.configuration
        )
        self.quarantine = Quarantine(clock)
        self.crashes = CrashExchange(
            name, self.mesh, self.view, self.quarantine, clock
        )

    @property
    def node(self) -> RouterNode:
        return RouterNode(self.name, '', self.mesh.address, 'z')

    def join(self, routers: 'Sequence[Router]') -> None:
        nodes = [router.node for router in routers]
        self.view.update_list((), nodes)
        self.mesh.set_peers(nodes)
        for seq, router in enumerate(routers):
            version = router.configuration.version
            self.view.merge_report(PeerReport(router.name, 1, seq, version))


@asynccontextmanager
async def fleet(
    versions: Sequence[int], joined: int = 3
) -> AsyncIterator[list[Router]]:
    routers = [Router(name) for name in 'abc']
    for router, version in zip(routers, versions, strict=True):
        router.configuration.advance(version, named(version))
        await router.mesh.start()
    for router in routers[:joined]:
        router.join(routers[:joined])
    for router in routers[:joined]:
        for peer in router.mesh.peers:
            await until(partial(router.mesh.send, peer, Hello(1, 1)))
    try:
        yield routers
    finally:
        for router in routers:
            await router.mesh.close()


def named(version: int) -> Fleet:
    name = f'v{version}'
    return Fleet(organisations=(Organisation(name=name, services=()),))


PULLS = [
    pytest.param((-1, 3, 7), 7, id='the-newest-of-all'),
    pytest.param((-1, 3, -1), 3, id='the-only-one'),
    pytest.param((7, 3, 7), None, id='none-is-newer'),
    pytest.param((-1, -1, -1), None, id='nobody-has-one'),
]


@pytest.mark.parametrize(('versions', 'expected'), PULLS)
async def test_the_newest_configuration_is_pulled(
    versions: tuple[int, int, int], expected: int | None
) -> None:
    async with fleet(versions) as (a, _, _):
        pulled = await a.exchange.pull(versions[0])
        if expected is None:
            assert pulled is None
        else:
            assert pulled == (expected, named(expected))


async def test_the_next_newest_serves_when_the_newest_is_silent() -> None:
    async with fleet((-1, 3, 7)) as (a, _, c):
        await c.mesh.close()
        assert await a.exchange.pull(-1) == (3, named(3))


DAMAGED = [
    pytest.param(b'', id='empty'),
    pytest.param(b'nonsense', id='not-compressed'),
    pytest.param(pack_fleet(named(1))[:-9], id='cut'),
]


@pytest.mark.parametrize('payload', DAMAGED)
def test_a_damaged_configuration_is_refused(payload: bytes) -> None:
    with pytest.raises(PeerMessageError):
        unpack_fleet(payload)


def note_crash(router: Router, fingerprint: int, crash: Crash) -> None:
    """Let a router notice a crash at this moment."""
    now = SystemClock().monotonic()
    router.quarantine.record_crash(fingerprint, crash, now, now)


async def test_a_crash_is_known_to_all_before_a_caller_can_come_back() -> None:
    async with fleet((0, 0, 0)) as routers:
        note_crash(routers[0], 9, Crash('e1', 'x'))
        await until(
            lambda: all(
                router.quarantine.status(9) is FingerprintStatus.SUSPECT
                for router in routers
            )
        )
        note_crash(routers[1], 9, Crash('e2', 'y'))
        await until(
            lambda: all(
                router.quarantine.status(9) is FingerprintStatus.QUARANTINED
                for router in routers
            )
        )


async def test_a_new_router_learns_of_earlier_crashes() -> None:
    async with fleet((0, 0, 0), joined=2) as routers:
        note_crash(routers[0], 9, Crash('e1', 'x'))
        for router in routers:
            router.join(routers)
        learning = asyncio.create_task(routers[2].crashes.run())
        await until(
            lambda: routers[2].quarantine.status(9) is FingerprintStatus.SUSPECT
        )
        learning.cancel()
