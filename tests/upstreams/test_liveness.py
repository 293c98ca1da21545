"""Whether an upstream runs, as several that need to know find out."""

import asyncio
from typing import Any

from bergamotshed.clock import SystemClock
from bergamotshed.upstreams.liveness import LivenessChecks
from bergamotshed.upstreams.types import UpstreamNotReached

ADDRESS = '127.0.0.1:1'


class FakePool:
    def __init__(self) -> None:
        self.is_alive = True
        self.probes = 0

    async def probe(self, _address: str) -> None:
        self.probes += 1
        await asyncio.sleep(0.01)
        if not self.is_alive:
            raise UpstreamNotReached('down')


async def test_a_check_from_before_the_event_does_not_count() -> None:
    pool: Any = FakePool()
    clock = SystemClock()
    checks = LivenessChecks(pool, clock)
    assert await checks.is_alive(ADDRESS, clock.monotonic())
    pool.is_alive = False
    await asyncio.sleep(0.05)
    assert not await checks.is_alive(ADDRESS, clock.monotonic())


async def test_events_at_about_the_same_time_share_a_check() -> None:
    pool: Any = FakePool()
    clock = SystemClock()
    checks = LivenessChecks(pool, clock)
    now = clock.monotonic()
    results = await asyncio.gather(
        *(checks.is_alive(ADDRESS, now + n / 1000) for n in range(10))
    )
    assert all(results)
    assert pool.probes == 1
