"""
tools.capacity.decisions
~~~~~~~~~~~~~~~~~~~~~~~~

Processor time and memory of the decisions, by engines, organisations and
chats.
"""

__all__ = ('by_chats', 'by_engines', 'by_organisations', 'by_routers')

import asyncio
import gc
import random
import time
import tracemalloc
from collections.abc import Callable
from datetime import timedelta
from functools import partial

from bergamotshed.clock import SystemClock
from bergamotshed.control.types import ConfigurationInForce
from bergamotshed.fleet import Fleet, LiveModel, Organisation, Service
from bergamotshed.routing.health import UpstreamHealth
from bergamotshed.routing.home import Home
from bergamotshed.routing.homes import rank_homes
from bergamotshed.routing.membership import Membership
from bergamotshed.routing.memory import ChatMemory
from bergamotshed.routing.types import (
    Outcome,
    Placement,
    PlacementRequest,
    Upstream,
)
from bergamotshed.routing.view import RouterNode

from .fit import Series

SERVICE = 's'
REQUESTS = 400
IN_FLIGHT_PER_ENGINE = 3
CHAT_BITS = 64
MICROSECONDS = 1_000_000
KIBIBYTE = 1024


def fleet(organisations: int) -> Fleet:
    """Return a configuration with one engine service."""
    return Fleet(
        services=(
            Service(
                name=SERVICE,
                models=(LiveModel(name='m', version='1'),),
                slots=4 * IN_FLIGHT_PER_ENGINE,
            ),
        ),
        organisations=tuple(
            Organisation(name=f'organisation-{number}', services=(SERVICE,))
            for number in range(organisations)
        ),
    )


def traced(build: Callable[[], object]) -> float:
    """Return the bytes that what is built takes."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return float(used)


def membership(engines: int) -> Membership:
    """Return a view of one service."""
    clock = SystemClock()
    node = RouterNode('r', '', '', 'z')
    view = Membership(node, clock, UpstreamHealth('r', clock))
    upstreams = [
        Upstream(f'engine-{number}', SERVICE, f'10.0.{number}.1:80', 'z')
        for number in range(engines)
    ]
    view.update_list(upstreams, [node])
    return view


def home(engines: int, organisations: int) -> Home:
    """Return a home of one service."""
    configuration = ConfigurationInForce()
    configuration.advance(1, fleet(organisations))
    return Home(
        SERVICE,
        configuration,
        membership(engines),
        SystemClock(),
        random.Random(1),
        router='r',
    )


def request(number: int, organisations: int) -> PlacementRequest:
    """Return a request of a chat that may have a history."""
    rng = random.Random(number)
    return PlacementRequest(
        request=f'{number:032x}',
        service=SERVICE,
        organisation=f'organisation-{rng.randrange(organisations)}',
        chat=rng.getrandbits(CHAT_BITS),
        model='m',
        history=1000,
        deadline=timedelta(seconds=30),
    )


async def _placement_cost(engines: int, organisations: int) -> float:
    """Return processor microseconds for one place and its release."""
    placer = home(engines, organisations)
    fill = IN_FLIGHT_PER_ENGINE * engines
    held = [
        await placer.place('r', request(number, organisations))
        for number in range(fill)
    ]
    wanted = [
        request(fill + number, organisations) for number in range(REQUESTS)
    ]
    started = time.process_time()
    for asked in wanted:
        placed = await placer.place('r', asked)
        if isinstance(placed, Placement):
            placer.release(
                'r',
                placed.grant,
                asked.chat,
                Outcome.DONE,
                0,
                placed.upstream.name,
            )
    spent = time.process_time() - started
    assert all(isinstance(placed, Placement) for placed in held)
    return spent / REQUESTS * MICROSECONDS


def by_engines(sizes: tuple[int, ...]) -> list[Series]:
    """Measure a placement, and the view's memory and refresh."""
    costs = [asyncio.run(_placement_cost(size, 10)) for size in sizes]
    memory = [traced(partial(membership, size)) for size in sizes]
    refresh = []
    for size in sizes:
        view = membership(size)
        started = time.process_time()
        for number in range(20):
            view.health.record_outcome(f'engine-{number % size}', Outcome.CUT)
            view.upstreams(SERVICE)
        spent = time.process_time() - started
        refresh.append(spent / 20 * MICROSECONDS)
    return [
        Series('place and release', 'µs', 'engines', sizes, tuple(costs)),
        Series('view of engines', 'B', 'engines', sizes, tuple(memory)),
        Series('change of a state', 'µs', 'engines', sizes, tuple(refresh)),
    ]


def by_organisations(sizes: tuple[int, ...]) -> list[Series]:
    """Measure a placement and the configuration's memory."""
    costs = [asyncio.run(_placement_cost(46, size)) for size in sizes]
    memory = [traced(partial(fleet, size)) for size in sizes]
    return [
        Series('place and release', 'µs', 'organisations', sizes, tuple(costs)),
        Series('configuration', 'B', 'organisations', sizes, tuple(memory)),
    ]


def by_chats(sizes: tuple[int, ...]) -> list[Series]:
    """Measure the memory of chats."""
    memory = []
    costs = []
    for size in sizes:
        rng = random.Random(size)
        chats = [rng.getrandbits(CHAT_BITS) for _ in range(size)]
        started = time.process_time()
        kept = ChatMemory(2 * size)
        for chat in chats:
            kept.remember(chat, f'engine-{chat % 46}', 1000)
        spent = time.process_time() - started
        costs.append(spent / size * MICROSECONDS)
        memory.append(float(kept.allocated_bytes))
    return [
        Series('chat memory', 'B', 'chats', sizes, tuple(memory)),
        Series('remember a chat', 'µs', 'chats', sizes, tuple(costs)),
    ]


def by_routers(sizes: tuple[int, ...]) -> list[Series]:
    """Measure finding all homes anew and the view's memory."""
    costs = []
    for size in sizes:
        nodes = [RouterNode(f'r{n}', '', '', 'z') for n in range(size)]
        started = time.process_time()
        for partition in range(20):
            rank_homes(SERVICE, partition, nodes)
        spent = time.process_time() - started
        costs.append(spent / 20 * MICROSECONDS)
    return [Series('find a home', 'µs', 'routers', sizes, tuple(costs))]
