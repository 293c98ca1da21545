"""
tools.capacity.claims
~~~~~~~~~~~~~~~~~~~~~

Measures log appends, bytes read and memory of at-most-once claims.
"""

__all__ = ('by_keys', 'by_rate')

import asyncio
import random
import time
from datetime import timedelta
from functools import partial

from tests.control.modellog import ModelLog
from tests.virtualtime import VirtualClock, VirtualLoop

from bergamotshed.control.claimrecords import stream_number
from bergamotshed.control.claims import LogClaims
from bergamotshed.control.types import Claim, SettledAnswer
from bergamotshed.routing.claimtable import ClaimEntry, ClaimTable

from .decisions import allocated_bytes
from .linear_fit import Series

DURATION_S = 20
ROUTERS = 4
PARTITIONS = 16
ORGANISATION = 'organisation'
KEY_BITS = 120
ANSWER = SettledAnswer(200, b'{"slot": "2026-12-04T10:00"}')
US_PER_S = 1_000_000


class _ClaimWorkload:
    """At-most-once calls at a constant rate, in virtual time."""

    def __init__(self, rate: float) -> None:
        self.loop = VirtualLoop()
        clock = VirtualClock(self.loop)
        self.log = ModelLog(clock)
        rng = random.Random(int(rate))
        self.keys = [
            f'{rng.getrandbits(KEY_BITS):030x}'
            for _ in range(int(rate * DURATION_S))
        ]
        self.interval_s = 1 / rate
        self.claims = [
            LogClaims(
                self.log, f'r{number}', clock, timedelta(hours=1), PARTITIONS
            )
            for number in range(ROUTERS)
        ]

    async def run(self) -> None:
        async with asyncio.TaskGroup() as tasks:
            for key in self.keys:
                owner = stream_number(ORGANISATION, key, PARTITIONS) % ROUTERS
                claims = self.claims[owner]
                tasks.create_task(_claim_and_settle(claims, key))
                await asyncio.sleep(self.interval_s)
        await asyncio.sleep(2)
        for claims in self.claims:
            await claims.close()


async def _claim_and_settle(claims: LogClaims, key: str) -> None:
    claim = await claims.claim(ORGANISATION, key)
    assert isinstance(claim, Claim)
    await asyncio.sleep(0.05)
    await claims.settle(claim, ANSWER)


def by_rate(rates: tuple[float, ...]) -> list[Series]:
    """Measure log traffic and processor time by the fleet's call rate."""
    appends, read_bytes, costs_us = [], [], []
    for rate in rates:
        workload = _ClaimWorkload(rate)
        started = time.process_time()
        workload.loop.run_until_complete(workload.run())
        cpu_s = time.process_time() - started
        workload.loop.close()
        appends.append(workload.log.appends / DURATION_S)
        read_bytes.append(workload.log.read_bytes / DURATION_S)
        costs_us.append(cpu_s / len(workload.keys) * US_PER_S)
    variable = 'at-most-once calls/s'
    return [
        Series('appends in total', '1/s', variable, rates, tuple(appends)),
        Series(
            'payload read by all owners',
            'B/s',
            variable,
            rates,
            tuple(read_bytes),
        ),
        Series('claim and settle', 'µs', variable, rates, tuple(costs_us)),
    ]


def by_keys(counts: tuple[int, ...]) -> list[Series]:
    """Measure the memory of stored idempotency keys."""
    memory = [allocated_bytes(partial(_build_table, count)) for count in counts]
    return [Series('remembered keys', 'B', 'keys', counts, tuple(memory))]


def _build_table(count: int) -> ClaimTable:
    table = ClaimTable(timedelta(hours=1))
    clock = VirtualClock(VirtualLoop())
    rng = random.Random(count)
    for offset in range(count):
        entry = ClaimEntry(rng.randbytes(16), rng.getrandbits(63))
        table.fold(offset, clock.now(), (entry,))
    return table
