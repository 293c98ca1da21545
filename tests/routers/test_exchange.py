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
from bergamotshed.routers.confirmednotices import ConfirmedNotices
from bergamotshed.routers.crashes import CrashExchange
from bergamotshed.routers.errors import PeerMessageError
from bergamotshed.routers.mesh import PeerMesh
from bergamotshed.routers.messages import Hello
from bergamotshed.routers.partanswers import PartAnswers
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
        notices = ConfirmedNotices(name, self.mesh, self.view, clock)
        self.crashes = CrashExchange(self.mesh, notices, self.quarantine, clock)
        self.part_answers = PartAnswers(
            self.mesh, notices, self.quarantine.parts, clock
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
async def started_routers(
    versions: Sequence[int], joined_count: int = 3
) -> AsyncIterator[list[Router]]:
    routers = [Router(name) for name in 'abc']
    for router, version in zip(routers, versions, strict=True):
        router.configuration.advance(version, fleet_named(version))
        await router.mesh.start()
    for router in routers[:joined_count]:
        router.join(routers[:joined_count])
    for router in routers[:joined_count]:
        for peer in router.mesh.peers:
            await until(partial(router.mesh.send, peer, Hello(1, 1)))
    try:
        yield routers
    finally:
        for router in routers:
            await router.mesh.close()


def fleet_named(version: int) -> Fleet:
    name = f'v{version}'
    return Fleet(organisations=(Organisation(name=name, services=()),))


PULL_CASES = [
    pytest.param((-1, 3, 7), 7, id='the-newest-of-all'),
    pytest.param((-1, 3, -1), 3, id='the-only-one'),
    pytest.param((7, 3, 7), None, id='none-is-newer'),
    pytest.param((-1, -1, -1), None, id='no-peer-has-one'),
]


@pytest.mark.parametrize(('versions', 'expected'), PULL_CASES)
async def test_the_newest_configuration_is_pulled(
    versions: tuple[int, int, int], expected: int | None
) -> None:
    async with started_routers(versions) as (a, _, _):
        pulled = await a.exchange.pull(versions[0])
        if expected is None:
            assert pulled is None
        else:
            assert pulled == (expected, fleet_named(expected))


async def test_the_next_newest_is_pulled_if_the_newest_is_silent() -> None:
    async with started_routers((-1, 3, 7)) as (a, _, c):
        await c.mesh.close()
        assert await a.exchange.pull(-1) == (3, fleet_named(3))


DAMAGED_PAYLOADS = [
    pytest.param(b'', id='empty'),
    pytest.param(b'nonsense', id='not-compressed'),
    pytest.param(pack_fleet(fleet_named(1))[:-9], id='cut'),
]


@pytest.mark.parametrize('payload', DAMAGED_PAYLOADS)
def test_a_damaged_configuration_is_refused(payload: bytes) -> None:
    with pytest.raises(PeerMessageError):
        unpack_fleet(payload)


def record_crash(router: Router, fingerprint: int, crash: Crash) -> None:
    """Record a crash at a router at the present time."""
    now = SystemClock().monotonic()
    router.quarantine.record_crash(fingerprint, crash, now, now)


async def test_a_crash_is_sent_to_all_routers() -> None:
    async with started_routers((0, 0, 0)) as routers:
        record_crash(routers[0], 9, Crash('e1', 'x'))
        await until(
            lambda: all(
                router.quarantine.status(9) is FingerprintStatus.SUSPECT
                for router in routers
            )
        )
        record_crash(routers[1], 9, Crash('e2', 'y'))
        await until(
            lambda: all(
                router.quarantine.status(9) is FingerprintStatus.QUARANTINED
                for router in routers
            )
        )


async def test_a_new_router_fetches_earlier_crashes() -> None:
    async with started_routers((0, 0, 0), joined_count=2) as routers:
        record_crash(routers[0], 9, Crash('e1', 'x'))
        for router in routers:
            router.join(routers)
        pull_task = asyncio.create_task(routers[2].crashes.run())
        await until(
            lambda: routers[2].quarantine.status(9) is FingerprintStatus.SUSPECT
        )
        pull_task.cancel()
