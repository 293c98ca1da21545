"""
tools.measure.placement
~~~~~~~~~~~~~~~~~~~~~~~

Measures placement: policies, strategies, churn, home changes, cache reuse
against load skew, headroom, and chats moved.
"""

__all__ = (
    'measure_churn',
    'measure_curve',
    'measure_headroom',
    'measure_home_change',
    'measure_moves',
    'measure_policies',
    'measure_strategies',
)

import asyncio
from functools import partial
from itertools import product

from bergamotshed.fleet import Service
from bergamotshed.routing import (
    Outcome,
    Placement,
    PlacementRequest,
    UpstreamState,
)
from bergamotshed.routing.hashing import stable_hash

from .runs import (
    BOOKING,
    DRAFTING,
    LOAD_COLUMNS,
    OVEN,
    RECIPE,
    RunOptions,
    load_cells,
    run_simulation,
)
from .simulation import EngineChange, Simulation
from .strategies import (
    SERVICE,
    GlobalViewStrategy,
    HomeStrategy,
    LocalViewStrategy,
    PlacementStrategy,
    SharedLoadsStrategy,
    SimulatedFleet,
)
from .table import Row, print_table
from .workload import WorkloadSize

ALL_SIZES = (DRAFTING, BOOKING, RECIPE, OVEN)
CHANGE_TIME_S = 150.0
PLACED_CHATS = 3000
BOUNDS = (1.1, 1.25, 1.5, 2.0)
HEADROOMS: tuple[float, ...] = (0, 0.25, 0.5, 0.75, 1)


def measure_policies() -> None:
    """Print each policy at each size; plain rendezvous has no load bound."""
    variants = {
        'remembered': Service(SERVICE),
        'same, no wait': Service(SERVICE, patience=0),
        'bounded': Service(SERVICE, policy='bounded'),
        'rendezvous, no bound': Service(SERVICE, policy='rendezvous'),
        'least-loaded': Service(SERVICE, policy='least-loaded'),
    }
    rows: list[Row] = [
        (
            size.title,
            name,
            *load_cells(run_simulation(RunOptions(size, service))),
        )
        for size in ALL_SIZES
        for name, service in variants.items()
    ]
    title = 'Policies, one router with a global view'
    print_table(title, ('size', 'policy', *LOAD_COLUMNS), rows)


def measure_strategies() -> None:
    """Print the placement strategies with four routers."""
    strategies: tuple[type[PlacementStrategy], ...] = (
        GlobalViewStrategy,
        HomeStrategy,
        SharedLoadsStrategy,
        LocalViewStrategy,
    )
    rows: list[Row] = [
        (
            size.title,
            strategy.name,
            *load_cells(run_simulation(RunOptions(size, strategy=strategy))),
        )
        for size in (DRAFTING, RECIPE, OVEN)
        for strategy in strategies
    ]
    title = 'Placement strategies, four routers, policy remembered'
    print_table(title, ('size', 'strategy', *LOAD_COLUMNS), rows)


def measure_churn() -> None:
    """Print cache reuse while engines join, leave, crash and flap."""
    rows: list[Row] = []
    for size in (DRAFTING, RECIPE):
        for name, changes in _churn_changes(size).items():
            ceiling = run_simulation(
                RunOptions(size, changes=changes)
            ).token_share
            plain = Service(SERVICE, policy='bounded')
            bounded = run_simulation(
                RunOptions(size, plain, HomeStrategy, changes)
            ).token_share
            result = run_simulation(
                RunOptions(size, strategy=HomeStrategy, changes=changes)
            )
            share = result.token_share
            rows.append(
                (
                    size.title,
                    name,
                    ceiling,
                    share,
                    bounded,
                    share / ceiling,
                    bounded / ceiling,
                    result.skew_quantile(0.99),
                    result.above_bound_share * 100,
                )
            )
    columns = (
        'size',
        'change',
        'global view',
        'home',
        'bounded',
        'home ratio',
        'bounded ratio',
        'skew p99',
        'above %',
    )
    print_table('Tokens from cache under churn', columns, rows)


def measure_home_change() -> None:
    """Print the load in the minute after a change of the home."""
    kinds: dict[str, dict[str, bool] | None] = {
        'none': None,
        'cold': {},
        'counts': {'send_counts': True},
        'counts, tokens': {'send_counts': True},
        'counts, routers': {'send_counts': True, 'send_router_memories': True},
        'counts, memory': {'send_counts': True, 'hand_over_memory': True},
    }
    rows: list[Row] = []
    for name, kind in kinds.items():
        prepare = None
        if kind is not None:
            prepare = partial(_schedule_home_change, options=kind)
        result = run_simulation(
            RunOptions(
                DRAFTING,
                strategy=HomeStrategy,
                use_placement_tokens='tokens' in name,
                duration_s=60,
                warm_up_s=CHANGE_TIME_S,
                prepare=prepare,
            )
        )
        rows.append((name, *load_cells(result)))
    title = 'Home change, the minute after it, drafting'
    print_table(title, ('handed over', *LOAD_COLUMNS), rows)


def measure_curve() -> None:
    """Print cache reuse and load skew by load bound and spread."""
    rows: list[Row] = []
    for size in (DRAFTING, RECIPE):
        for bound, spread in product(BOUNDS, (1, 3, size.engines)):
            service = Service(SERVICE, load_bound=bound, spread=spread)
            result = run_simulation(RunOptions(size, service))
            rows.append((size.title, bound, spread, *load_cells(result)))
    columns = ('size', 'load_bound', 'spread', *LOAD_COLUMNS)
    print_table('Reuse against skew', columns, rows)


def measure_headroom() -> None:
    """Print the load, with the time above the bound, by headroom."""
    rows: list[Row] = [
        (
            size.title,
            headroom,
            *load_cells(
                run_simulation(
                    RunOptions(size, Service(SERVICE, headroom=headroom))
                )
            ),
        )
        for size in (DRAFTING, OVEN)
        for headroom in HEADROOMS
    ]
    title = (
        'Headroom under the bound, in square roots of the requests in flight'
    )
    print_table(title, ('size', 'headroom', *LOAD_COLUMNS), rows)


def measure_moves() -> None:
    """Print the share of chats that a join or leave moves, without load."""
    rows: list[Row] = []
    for size in ALL_SIZES:
        for policy in ('remembered', 'bounded'):
            joined, left = asyncio.run(_moved_shares(size, policy))
            limit = 1.1 / size.engines
            rows.append((size.title, policy, joined, left, limit))
    columns = ('size', 'policy', 'join', 'leave', 'limit 1.1/n')
    print_table('Share of chats moved by one change', columns, rows)


def _churn_changes(size: WorkloadSize) -> dict[str, tuple[EngineChange, ...]]:
    last = f'e{size.engines - 1}'
    live, suspect = UpstreamState.LIVE, UpstreamState.SUSPECT
    flaps = tuple(
        EngineChange(CHANGE_TIME_S + 20 * turn + wait, last, state)
        for turn in range(4)
        for wait, state in ((0, suspect), (8, live))
    )
    return {
        'join': (EngineChange(CHANGE_TIME_S, f'e{size.engines}', live),),
        'leave': (EngineChange(CHANGE_TIME_S, last, UpstreamState.LEAVING),),
        'crash': (
            EngineChange(CHANGE_TIME_S, last, suspect, loses_cache=True),
            EngineChange(CHANGE_TIME_S + 20, last, live),
        ),
        'flap': flaps,
    }


def _schedule_home_change(
    strategy: PlacementStrategy,
    simulation: Simulation,
    *,
    options: dict[str, bool],
) -> None:
    assert isinstance(strategy, HomeStrategy)
    change = partial(strategy.move_home, simulation.in_flight, **options)
    simulation.schedule(CHANGE_TIME_S, change)


async def _moved_shares(size: WorkloadSize, policy: str) -> tuple[float, float]:
    fleet = SimulatedFleet(size, Service(SERVICE, policy=policy), 1)
    strategy = GlobalViewStrategy(fleet)
    before = await _place_chats(strategy)
    fleet.states[f'e{size.engines}'] = UpstreamState.LIVE
    fleet.refresh_upstreams()
    joined = await _place_chats(strategy)
    fleet.states.pop(f'e{size.engines}')
    fleet.refresh_upstreams()
    before_leave = await _place_chats(strategy)
    fleet.states.pop('e0')
    fleet.refresh_upstreams()
    left = await _place_chats(strategy)
    return _moved_share(before, joined), _moved_share(before_leave, left)


async def _place_chats(strategy: PlacementStrategy) -> list[str]:
    names = []
    for number in range(PLACED_CHATS):
        request = PlacementRequest(
            f'q{number}', SERVICE, 'org-0', stable_hash('moved', str(number))
        )
        placement = await strategy.place('r0', request)
        assert isinstance(placement, Placement)
        names.append(placement.upstream.name)
        strategy.home('r0').release(
            'r0',
            placement.grant,
            request.chat,
            Outcome.DONE,
            0,
            placement.upstream.name,
        )
    return names


def _moved_share(before: list[str], after: list[str]) -> float:
    pairs = zip(before, after, strict=True)
    return sum(old != new for old, new in pairs) / len(before)
