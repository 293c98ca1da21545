"""
tools.measure.overload
~~~~~~~~~~~~~~~~~~~~~~

Measures how a surge of one organisation delays the others, and the cost of a
placement decision.
"""

__all__ = ('measure_cost', 'measure_surge')

import asyncio
import random
import time

from bergamotshed.fleet import Service
from bergamotshed.routing import Outcome, Placement, PlacementRequest
from bergamotshed.routing.memory import ChatMemory

from .runs import (
    BOOKING,
    DRAFTING,
    SEED,
    RunOptions,
    run_simulation,
    with_slots_and_rate,
)
from .simulation import Surge
from .strategies import SERVICE, GlobalViewStrategy, SimulatedFleet
from .table import print_table

SURGING_ORGANISATION = 'org-1'
SURGE_FACTOR = 5
DECISIONS = 5000
REMEMBERED_CHATS = 200_000


def measure_surge() -> None:
    """Print the other organisations' waits with fair and with FIFO queues."""
    rows = []
    cases = (
        with_slots_and_rate(BOOKING, 8, 4.8),
        with_slots_and_rate(DRAFTING, 16, 33),
    )
    for size in cases:
        surge = Surge(60, SURGING_ORGANISATION, size.rate * SURGE_FACTOR)
        for name, is_fair in (('fair', True), ('FIFO', False)):
            for state, active_surge in (('quiet', None), ('surge', surge)):
                result = run_simulation(
                    RunOptions(
                        size,
                        surge=active_surge,
                        is_fair=is_fair,
                        duration_s=120,
                        warm_up_s=70,
                    )
                )
                waits = sorted(
                    wait
                    for organisation, waits_s in result.waits_s.items()
                    if organisation != SURGING_ORGANISATION
                    for wait in waits_s
                )
                rows.append(
                    (
                        size.title,
                        name,
                        state,
                        len(waits),
                        result.refused,
                        1000 * sum(waits) / len(waits),
                        1000 * waits[int(len(waits) * 0.95)],
                        1000 * waits[int(len(waits) * 0.99)],
                    )
                )
    columns = (
        'size',
        'queue',
        'state',
        'others',
        'refused',
        'mean ms',
        'p95 ms',
        'p99 ms',
    )
    print_table('Wait of the organisations that do not surge', columns, rows)


def measure_cost() -> None:
    """Print processor time per decision and bytes per remembered chat."""
    rows = [
        (
            engines,
            organisations,
            asyncio.run(_decision_cost_us(engines, organisations)),
        )
        for engines in (3, 9, 46)
        for organisations in (10, 100)
    ]
    columns = ('engines', 'organisations', 'us for place and release')
    print_table('Processor time', columns, rows)
    memory = ChatMemory(REMEMBERED_CHATS)
    rng = random.Random(SEED)
    for _ in range(2 * REMEMBERED_CHATS):
        memory.remember(rng.getrandbits(64), 'e0', 1000)
    bytes_per_chat = memory.allocated_bytes / len(memory)
    print_table(
        'Memory', ('chats', 'bytes each'), [(len(memory), bytes_per_chat)]
    )


async def _decision_cost_us(engines: int, organisations: int) -> float:
    size = with_slots_and_rate(DRAFTING, 64, 1)
    service = Service(SERVICE, slots=64)
    size = type(size)(
        'cost', engines, 1, 1, 1, 1, 64, organisations=organisations
    )
    strategy = GlobalViewStrategy(SimulatedFleet(size, service, SEED))
    rng = random.Random(SEED)
    in_flight: list[tuple[PlacementRequest, Placement]] = []
    started = time.process_time()
    for number in range(DECISIONS):
        organisation = f'org-{number % organisations}'
        chat = rng.getrandbits(12) + 1
        request = PlacementRequest(f'q{number}', SERVICE, organisation, chat)
        placement = await strategy.place('r0', request)
        assert isinstance(placement, Placement)
        in_flight.append((request, placement))
        if len(in_flight) > engines * 10:
            _release_placement(strategy, *in_flight.pop(0))
    return (time.process_time() - started) / DECISIONS * 1e6


def _release_placement(
    strategy: GlobalViewStrategy,
    request: PlacementRequest,
    placement: Placement,
) -> None:
    strategy.home('r0').release(
        'r0',
        placement.grant,
        request.chat,
        Outcome.DONE,
        0,
        placement.upstream.name,
    )
