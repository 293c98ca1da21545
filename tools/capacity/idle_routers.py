"""
tools.capacity.idle_routers
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Runs four complete routers without callers and measures control bytes by kind
of peer, processor time and memory of each.
"""

__all__ = ('measure_idle',)

import asyncio
import os
import tempfile
from dataclasses import dataclass
from pathlib import Path

from tests.harness import Cluster, ClusterPlan, example_fleet, running_cluster

from .measured_router import PAGE_BYTES

SETTLE_S = 4
MEASURE_S = 10
# utime and stime in /proc/PID/stat, counted from 0.
CPU_TIME_FIELDS = slice(13, 15)
PLAN = ClusterPlan(
    engines={'drafting': 9, 'booking': 3}, plain_services={'slots': 2}
)


@dataclass(frozen=True, slots=True)
class _Sample:
    traffic: dict[str, dict[str, int]]
    cpu_s: float
    resident_bytes: int


async def _sample(cluster: Cluster, number: int) -> _Sample:
    dump = await cluster.fetch_state(number)
    proc = Path('/proc') / str(cluster.pid(f'router-{number}'))
    fields = (proc / 'stat').read_text().rpartition(') ')[2].split()
    ticks = sum(
        map(int, fields[CPU_TIME_FIELDS.start - 2 : CPU_TIME_FIELDS.stop - 2])
    )
    pages = int((proc / 'statm').read_text().split()[1])
    return _Sample(
        dump['traffic']['peers'],
        ticks / os.sysconf('SC_CLK_TCK'),
        pages * PAGE_BYTES,
    )


def _row(number: int, before: _Sample, after: _Sample) -> str:
    parts = [f'router-{number}']
    total: float = 0
    for kind, counts in sorted(after.traffic.items()):
        earlier = before.traffic.get(kind, {'sent': 0, 'received': 0})
        sent = (counts['sent'] - earlier['sent']) / MEASURE_S
        received = (counts['received'] - earlier['received']) / MEASURE_S
        parts.append(f'{kind} {sent:.0f}+{received:.0f} B/s')
        total += sent + received
    core = (after.cpu_s - before.cpu_s) / MEASURE_S
    parts.append(f'total {total:.0f} B/s')
    parts.append(f'core {core:.2%}')
    parts.append(f'resident {after.resident_bytes / 1e6:.1f} MB')
    return ', '.join(parts)


async def _measure_idle() -> list[str]:
    with tempfile.TemporaryDirectory() as directory:
        async with running_cluster(PLAN, Path(directory)) as cluster:
            await cluster.publish(example_fleet(PLAN))
            await asyncio.sleep(SETTLE_S)
            numbers = range(1, PLAN.routers + 1)
            before = [await _sample(cluster, number) for number in numbers]
            await asyncio.sleep(MEASURE_S)
            after = [await _sample(cluster, number) for number in numbers]
    return [
        _row(number, *samples)
        for number, samples in enumerate(
            zip(before, after, strict=True), start=1
        )
    ]


def measure_idle() -> list[str]:
    """Return a row for each router."""
    return asyncio.run(_measure_idle())
