"""
tools.measure.runs
~~~~~~~~~~~~~~~~~~

The users' workload sizes, and one run of the simulation.
"""

__all__ = (
    'BOOKING',
    'DRAFTING',
    'LOAD_COLUMNS',
    'OVEN',
    'RECIPE',
    'RunOptions',
    'load_cells',
    'run_simulation',
)

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace

from bergamotshed.fleet import Service

from .simulation import (
    EngineChange,
    OverBoundCause,
    Simulation,
    SimulationResult,
    Surge,
)
from .strategies import (
    SERVICE,
    GlobalViewStrategy,
    PlacementStrategy,
    SimulatedFleet,
)
from .workload import WorkloadSize

SEED = 1
DEFAULT_SERVICE = Service(SERVICE)
DRAFTING = WorkloadSize('drafting', 9, 46, 3000, 6, 900_000)
BOOKING = WorkloadSize('booking', 3, 8, 800, 4, 250_000)
RECIPE = WorkloadSize('recipe', 6, 24, 1500, 5, 500_000)
OVEN = WorkloadSize('oven', 3, 6, 400, 3, 120_000)
LOAD_COLUMNS = (
    'hits',
    'tokens',
    'skew p50',
    'p99',
    'above %',
    'longest s',
    'excess',
    'placed',
    'finished',
    'members',
    'wait ms',
    'p99 ms',
)


@dataclass(frozen=True, slots=True)
class RunOptions:
    """Options of one simulation run.

    :ivar is_fair: requests of different organisations queue fairly
    :ivar use_placement_tokens: callers send their placement tokens back
    :ivar warm_up_s: time before requests are counted
    :ivar prepare: schedules changes of the strategy during the run
    """

    size: WorkloadSize
    service: Service = DEFAULT_SERVICE
    strategy: type[PlacementStrategy] = GlobalViewStrategy
    changes: tuple[EngineChange, ...] = ()
    surge: Surge | None = None
    is_fair: bool = True
    use_placement_tokens: bool = False
    duration_s: float = 150
    warm_up_s: float = 120
    prepare: Callable[[PlacementStrategy, Simulation], None] | None = None


def run_simulation(options: RunOptions) -> SimulationResult:
    """Run one simulation and return its result."""
    service = service_with_slots(options)
    fleet = SimulatedFleet(options.size, service, SEED, is_fair=options.is_fair)
    strategy = options.strategy(fleet)
    simulation = Simulation(
        strategy,
        SEED,
        duration_s=options.duration_s,
        warm_up_s=options.warm_up_s,
        changes=options.changes,
        surge=options.surge,
        use_placement_tokens=options.use_placement_tokens,
    )
    if options.prepare:
        options.prepare(strategy, simulation)
    return asyncio.run(simulation.run())


def service_with_slots(options: RunOptions) -> Service:
    """Return the service with the number of slots of the workload size."""
    fields = {
        name: getattr(options.service, name)
        for name in options.service.__struct_fields__
    }
    return Service(**{**fields, 'slots': options.size.slots})


def load_cells(result: SimulationResult) -> list[float | int]:
    """Return the cells under :data:`LOAD_COLUMNS`."""
    waits = sorted(
        wait for waits_s in result.waits_s.values() for wait in waits_s
    )
    mean = sum(waits) / max(len(waits), 1)
    p99 = waits[int(len(waits) * 0.99)] if waits else 0
    return [
        result.hit_share,
        result.token_share,
        result.skew_quantile(0.5),
        result.skew_quantile(0.99),
        result.above_bound_share * 100,
        float(max(result.above_bound_s, default=0)),
        result.max_excess,
        *(result.causes[cause] for cause in OverBoundCause),
        mean * 1000,
        p99 * 1000,
    ]


def with_slots_and_rate(
    size: WorkloadSize, slots: int, rate: float
) -> WorkloadSize:
    """Return the workload size with other slots and rate."""
    return replace(size, slots=slots, rate=rate)
