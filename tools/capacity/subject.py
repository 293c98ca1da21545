"""
tools.capacity.subject
~~~~~~~~~~~~~~~~~~~~~~

One router's part of the peers' protocol under measure. Reads the stand-ins'
ports, prints its own address, then one line of JSON.
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

from .scene import ENGINES, PARTITIONS, SERVICE, SUBJECT, names, organisation

PAGE_BYTES = 4096
WARM_UP_S = 3
MEASURE_S = 4


class Subject:
    """The router, its counters and its requests."""

    def __init__(self) -> None:
        self.bytes: Counter[str] = Counter()
        self.clock = SystemClock()
        self.mesh = PeerMesh(SUBJECT, '127.0.0.1:0', self.clock, self._count)
        self.configuration = ConfigurationInForce()
        self.configuration.advance(1, _fleet())

    def _count(self, kind: str, sent: int, received: int) -> None:
        self.bytes.update(sent=sent, received=received, messages=1)

    async def start(self, ports: list[str]) -> None:
        """Join the stand-ins."""
        await self.mesh.start()
        node = RouterNode(SUBJECT, '', self.mesh.address, 'z')
        self.view = Membership(
            node, self.clock, UpstreamHealth(SUBJECT, self.clock)
        )
        local = LocalPlacer(
            self.configuration,
            self.view,
            self.clock,
            random.Random(1),
            router=SUBJECT,
        )
        self.placer = HomePlacer(
            SUBJECT,
            self.mesh,
            self.view,
            local,
            local,
            self.configuration,
            self.clock,
        )
        others = [
            RouterNode(name, '', f'127.0.0.1:{port}', 'z')
            for name, port in zip(names(len(ports)), ports, strict=True)
        ]
        engines = [
            Upstream(f'engine-{number}', SERVICE, '10.0.0.1:80', 'z')
            for number in range(ENGINES)
        ]
        self.view.update_list(engines, [node, *others])
        self.heartbeats = Heartbeats(
            self.mesh, self.view, self.placer, self.configuration, self.clock
        )

    async def play(self, rate: float) -> None:
        """Ask homes for places at a rate."""
        rng = random.Random(2)
        calls = set()
        while rate > 0:
            task = asyncio.create_task(self._one_request(rng))
            calls.add(task)
            task.add_done_callback(calls.discard)
            await asyncio.sleep(1 / rate)

    async def _one_request(self, rng: random.Random) -> None:
        request = PlacementRequest(
            request=rng.randbytes(16).hex(),
            service=SERVICE,
            organisation=organisation(rng.randrange(10)),
            chat=rng.getrandbits(64),
            model='model-7',
            history=1000,
            deadline=timedelta(seconds=60),
        )
        placed = await self.placer.place(request)
        await asyncio.sleep(2)
        if isinstance(placed, Placement):
            self.placer.release(request, placed, Outcome.DONE, 900)


def _fleet() -> Fleet:
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
            Organisation(name=organisation(number), services=(SERVICE,))
            for number in range(10)
        ),
    )


def resident_bytes() -> int:
    """Return this process's resident memory."""
    with open('/proc/self/statm', encoding='ascii') as file:
        return int(file.read().split()[1]) * PAGE_BYTES


async def main(rate: float) -> None:
    """Measure for a few seconds.

    :param rate: places a second that other homes are asked for
    """
    before = resident_bytes()
    ports = sys.stdin.readline().split()
    subject = Subject()
    await subject.start(ports)
    print(subject.mesh.address, flush=True)
    beating = asyncio.create_task(subject.heartbeats.run())
    playing = asyncio.create_task(subject.play(rate))
    await asyncio.sleep(WARM_UP_S)
    counted = Counter(subject.bytes)
    spent, started = time.process_time(), time.monotonic()
    await asyncio.sleep(MEASURE_S)
    elapsed = time.monotonic() - started
    result = {
        key: (subject.bytes[key] - counted[key]) / elapsed
        for key in ('sent', 'received', 'messages')
    }
    result['core'] = (time.process_time() - spent) / elapsed
    result['memory'] = resident_bytes() - before
    result['connections'] = len(subject.mesh.pool)
    result['fallback'] = subject.placer.counters.fallback
    result['suspects'] = sum(node.suspect for node in subject.view.routers())
    beating.cancel()
    playing.cancel()
    await subject.mesh.close()
    print(json.dumps(result), flush=True)


if __name__ == '__main__':
    uvloop.run(main(float(sys.argv[1])))
