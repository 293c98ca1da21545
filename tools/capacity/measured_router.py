"""
tools.capacity.measured_router
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Runs the peer protocol of the measured router. Reads the stand-in peers' ports
from standard input, prints its own address, then one line of JSON with the
results.
"""

__all__ = ('main',)

import asyncio
import json
import random
import sys
import time
from collections import Counter
from datetime import timedelta

import uvloop

from bergamotshed.clock import SystemClock
from bergamotshed.control.types import ConfigurationInForce
from bergamotshed.fleet import Fleet, LiveModel, Organisation, Service
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

from .scenario import (
    ENGINES,
    MEASURED_ROUTER,
    PARTITIONS,
    SERVICE,
    organisation_name,
    peer_names,
)

PAGE_BYTES = 4096
WARM_UP_S = 3
MEASURE_S = 4


class MeasuredRouter:
    """The router's mesh, placer and heartbeats, with traffic counters."""

    def __init__(self) -> None:
        self.traffic: Counter[str] = Counter()
        self.clock = SystemClock()
        self.mesh = PeerMesh(
            MEASURED_ROUTER, '127.0.0.1:0', self.clock, self._count_message
        )
        self.configuration = ConfigurationInForce()
        self.configuration.advance(1, _build_fleet())

    def _count_message(self, kind: str, sent: int, received: int) -> None:
        self.traffic.update(sent=sent, received=received, messages=1)

    async def start(self, ports: list[str]) -> None:
        """Join the mesh of the stand-in peers.

        :param ports: ports of the stand-in peers, in the order of their names
        """
        await self.mesh.start()
        node = RouterNode(MEASURED_ROUTER, '', self.mesh.address, 'z')
        self.view = Membership(
            node, self.clock, UpstreamHealth(MEASURED_ROUTER, self.clock)
        )
        local = LocalPlacer(
            self.configuration,
            self.view,
            self.clock,
            random.Random(1),
            router=MEASURED_ROUTER,
        )
        self.placer = HomePlacer(
            MEASURED_ROUTER,
            self.mesh,
            self.view,
            local,
            local,
            self.configuration,
            self.clock,
        )
        peers = [
            RouterNode(name, '', f'127.0.0.1:{port}', 'z')
            for name, port in zip(peer_names(len(ports)), ports, strict=True)
        ]
        engines = [
            Upstream(f'engine-{number}', SERVICE, '10.0.0.1:80', 'z')
            for number in range(ENGINES)
        ]
        self.view.update_list(engines, [node, *peers])
        self.heartbeats = Heartbeats(
            self.mesh, self.view, self.placer, self.configuration, self.clock
        )

    async def send_requests(self, rate: float) -> None:
        """Place requests at their homes, at a rate a second."""
        rng = random.Random(2)
        tasks = set()
        while rate > 0:
            task = asyncio.create_task(self._place_and_release(rng))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1 / rate)

    async def _place_and_release(self, rng: random.Random) -> None:
        request = PlacementRequest(
            request=rng.randbytes(16).hex(),
            service=SERVICE,
            organisation=organisation_name(rng.randrange(10)),
            chat=rng.getrandbits(64),
            model='model-7',
            history=1000,
            deadline=timedelta(seconds=60),
        )
        placement = await self.placer.place(request)
        await asyncio.sleep(2)
        if isinstance(placement, Placement):
            self.placer.release(request, placement, Outcome.DONE, 900)


def _build_fleet() -> Fleet:
    return Fleet(
        services=(
            Service(
                name=SERVICE,
                models=(LiveModel(name='model-7', version='1'),),
                partitions=PARTITIONS,
                slots=1000,
            ),
        ),
        organisations=tuple(
            Organisation(name=organisation_name(number), services=(SERVICE,))
            for number in range(10)
        ),
    )


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    with open('/proc/self/statm', encoding='ascii') as file:
        return int(file.read().split()[1]) * PAGE_BYTES


async def main(rate: float) -> None:
    """Measure for a few seconds.

    :param rate: placement requests a second that it sends to homes
    """
    memory_before_bytes = resident_bytes()
    ports = sys.stdin.readline().split()
    router = MeasuredRouter()
    await router.start(ports)
    print(router.mesh.address, flush=True)
    heartbeats = asyncio.create_task(router.heartbeats.run())
    requests = asyncio.create_task(router.send_requests(rate))
    await asyncio.sleep(WARM_UP_S)
    traffic_before = Counter(router.traffic)
    cpu_before_s, started = time.process_time(), time.monotonic()
    await asyncio.sleep(MEASURE_S)
    elapsed_s = time.monotonic() - started
    result = {
        key: (router.traffic[key] - traffic_before[key]) / elapsed_s
        for key in ('sent', 'received', 'messages')
    }
    result['core'] = (time.process_time() - cpu_before_s) / elapsed_s
    result['memory'] = resident_bytes() - memory_before_bytes
    result['connections'] = len(router.mesh.pool)
    result['fallback'] = router.placer.counters.fallback
    result['suspects'] = sum(node.suspect for node in router.view.routers())
    heartbeats.cancel()
    requests.cancel()
    await router.mesh.close()
    print(json.dumps(result), flush=True)


if __name__ == '__main__':
    uvloop.run(main(float(sys.argv[1])))
