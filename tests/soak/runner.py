"""
tests.soak.runner
~~~~~~~~~~~~~~~~~

Runs one seed: load with faults, the checks of the promises, and the recovery
after the last fault.
"""

__all__ = ('SeedResult', 'SoakSize', 'run_seed')

import asyncio
import random
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path

from aiohttp import ClientError, ClientSession

from tests.waiting import until

from .callers import Caller, CallRecord
from .engines import EngineRun
from .faults import Fault, draw_faults
from .fleet import PORTS, Fleet
from .judge import find_violations

#: How long after a disturbance routers may still use old data.
CATCH_UP_S = 3.0
#: Time after the last fault in which the fleet has to serve again.
MAX_RECOVERY_S = 10.0
RECOVERY_CALLS = 40
MIN_SERVED_SHARE = 0.9
START_TIMEOUT_S = 30
OK = 200


@dataclass(frozen=True, slots=True)
class SoakSize:
    """Duration of the load, and number of each kind of participant.

    :ivar also: names of faults that each seed has in addition
    """

    duration_s: float = 8.0
    routers: int = 3
    engines: int = 4
    callers: int = 12
    also: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class SeedResult:
    """The result of one seed.

    :ivar violations: broken promises, a line each
    :ivar sent: number of requests
    :ivar served: number of requests that were answered with status 200
    """

    seed: int
    violations: list[str]
    faults: list[str]
    sent: int
    served: int


class DisturbanceTracker:
    """Injects the faults and tracks when the routers were last disturbed."""

    def __init__(self) -> None:
        self._active_count = 0
        self._ended_at = time.monotonic()

    @property
    def undisturbed_s(self) -> float:
        """Return the seconds since the last disturbance; 0 during one."""
        return 0 if self._active_count else time.monotonic() - self._ended_at

    async def inject(self, fault: Fault, fleet: Fleet) -> None:
        """Inject a fault at its start time."""
        await asyncio.sleep(fault.start_s)
        self._active_count += fault.disturbs_routers
        try:
            await fault.inject(fleet)
        finally:
            self._active_count -= fault.disturbs_routers
            if fault.disturbs_routers:
                self._ended_at = time.monotonic()


async def run_seed(seed: int, directory: Path, size: SoakSize) -> SeedResult:
    """Run one seed and check the promises."""
    rng = random.Random(seed)
    faults = draw_faults(rng, size.duration_s, size.also)
    calls: list[CallRecord] = []
    async with AsyncExitStack() as stack:
        fleet = Fleet(directory, rng, size.routers, size.engines)
        await fleet.start(stack)
        await _wait_until_ready(fleet)
        disturbances = DisturbanceTracker()
        late_runs: list[tuple[EngineRun, float]] = []
        watcher = asyncio.ensure_future(
            _collect_late_runs(fleet, disturbances, late_runs)
        )
        callers = [
            asyncio.ensure_future(
                Caller(f'{seed}-{n}', fleet, random.Random(n), calls).run()
            )
            for n in range(size.callers)
        ]
        await asyncio.gather(
            *(disturbances.inject(fault, fleet) for fault in faults)
        )
        watcher.cancel()
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, watcher, return_exceptions=True)
        violations = find_violations(fleet, calls, late_runs)
        violations += await _check_recovery(seed, fleet, rng, calls)
    served = sum(call.response.status == OK for call in calls)
    fault_names = [fault.name for fault in faults]
    return SeedResult(seed, violations, fault_names, len(calls), served)


async def _collect_late_runs(
    fleet: Fleet,
    disturbances: DisturbanceTracker,
    late_runs: list[tuple[EngineRun, float]],
) -> None:
    """Record runs at draining engines while no router is disturbed."""
    checked_count = 0
    while True:
        await asyncio.sleep(0.02)
        new_runs, checked_count = fleet.runs[checked_count:], len(fleet.runs)
        engines = {engine.name: engine for engine in fleet.engines}
        for run in new_runs:
            drained_at = engines[run.engine].drained_at
            if drained_at is None or disturbances.undisturbed_s < CATCH_UP_S:
                continue
            late_runs.append((run, run.started_at - drained_at))


async def _wait_until_ready(fleet: Fleet) -> None:
    async with ClientSession() as session:

        async def is_ready() -> bool:
            try:
                for router in fleet.routers:
                    url = f'http://{router.host}:{PORTS["health"]}'
                    async with session.get(f'{url}/v1/health') as response:
                        if response.status != OK:
                            return False
            except ClientError:
                return False
            return True

        await until(is_ready, START_TIMEOUT_S)


async def _check_recovery(
    seed: int, fleet: Fleet, rng: random.Random, calls: list[CallRecord]
) -> list[str]:
    """Check that calls are served again soon after the last fault."""
    deadline = time.monotonic() + MAX_RECOVERY_S
    caller = Caller(f'{seed}-calm', fleet, rng, calls)
    served_share = 0.0
    while time.monotonic() < deadline:
        recovery_calls = [await caller.call() for _ in range(RECOVERY_CALLS)]
        served = sum(
            call is not None and call.response.status == OK
            for call in recovery_calls
        )
        served_share = served / RECOVERY_CALLS
        if served_share >= MIN_SERVED_SHARE:
            return []
    return [
        f'RECOVER: {served_share:.0%} served '
        f'{MAX_RECOVERY_S} s after the last fault'
    ]
