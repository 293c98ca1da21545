"""
tools.capacity.decisions
~~~~~~~~~~~~~~~~~~~~~~~~

Measures processor time and memory of placement decisions, by engines,
organisations, chats and routers.
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

from .linear_fit import Series

SERVICE = 's'
MEASURED_REQUESTS = 400
IN_FLIGHT_PER_ENGINE = 3
CHAT_BITS = 64
US_PER_S = 1_000_000
KIBIBYTE = 1024


def build_fleet(organisations: int) -> Fleet:
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


def allocated_bytes(build: Callable[[], object]) -> float:
    """Return the memory that the built object takes, in bytes."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return float(used)


def build_membership(engines: int) -> Membership:
    """Return the membership of one service."""
    clock = SystemClock()
    node = RouterNode('r', '', '', 'z')
    view = Membership(node, clock, UpstreamHealth('r', clock))
    upstreams = [
        Upstream(f'engine-{number}', SERVICE, f'10.0.{number}.1:80', 'z')
        for number in range(engines)
    ]
    view.update_list(upstreams, [node])
    return view


def build_home(engines: int, organisations: int) -> Home:
    """Return a home of one service."""
    configuration = ConfigurationInForce()
    configuration.advance(1, build_fleet(organisations))
    return Home(
        SERVICE,
        configuration,
        build_membership(engines),
        SystemClock(),
        random.Random(1),
        router='r',
    )


def build_request(number: int, organisations: int) -> PlacementRequest:
    """Return a request of a random chat with a history."""
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


async def _placement_cost_us(engines: int, organisations: int) -> float:
    """Return the processor time of one placement and its release."""
    placer = build_home(engines, organisations)
    in_flight_count = IN_FLIGHT_PER_ENGINE * engines
    in_flight = [
        await placer.place('r', build_request(number, organisations))
        for number in range(in_flight_count)
    ]
    requests = [
        build_request(in_flight_count + number, organisations)
        for number in range(MEASURED_REQUESTS)
    ]
    started = time.process_time()
    for request in requests:
        placement = await placer.place('r', request)
        if isinstance(placement, Placement):
            placer.release(
                'r',
                placement.grant,
                request.chat,
                Outcome.DONE,
                0,
                placement.upstream.name,
            )
    cpu_s = time.process_time() - started
    assert all(isinstance(placement, Placement) for placement in in_flight)
    return cpu_s / MEASURED_REQUESTS * US_PER_S


def by_engines(sizes: tuple[int, ...]) -> list[Series]:
    """Measure a placement, and the view's memory and refresh cost."""
    costs_us = [asyncio.run(_placement_cost_us(size, 10)) for size in sizes]
    memory = [
        allocated_bytes(partial(build_membership, size)) for size in sizes
    ]
    refresh_costs_us = []
    for size in sizes:
        view = build_membership(size)
        started = time.process_time()
        for number in range(20):
            view.health.record_outcome(f'engine-{number % size}', Outcome.CUT)
            view.upstreams(SERVICE)
        cpu_s = time.process_time() - started
        refresh_costs_us.append(cpu_s / 20 * US_PER_S)
    return [
        Series('place and release', 'µs', 'engines', sizes, tuple(costs_us)),
        Series('view of engines', 'B', 'engines', sizes, tuple(memory)),
        Series('state change', 'µs', 'engines', sizes, tuple(refresh_costs_us)),
    ]


def by_organisations(sizes: tuple[int, ...]) -> list[Series]:
    """Measure a placement and the configuration's memory."""
    costs_us = [asyncio.run(_placement_cost_us(46, size)) for size in sizes]
    memory = [allocated_bytes(partial(build_fleet, size)) for size in sizes]
    return [
        Series(
            'place and release', 'µs', 'organisations', sizes, tuple(costs_us)
        ),
        Series('configuration', 'B', 'organisations', sizes, tuple(memory)),
    ]


def by_chats(sizes: tuple[int, ...]) -> list[Series]:
    """Measure the memory and the insert cost of remembered chats."""
    memory = []
    costs_us = []
    for size in sizes:
        rng = random.Random(size)
        chats = [rng.getrandbits(CHAT_BITS) for _ in range(size)]
        started = time.process_time()
        chat_memory = ChatMemory(2 * size)
        for chat in chats:
            chat_memory.remember(chat, f'engine-{chat % 46}', 1000)
        cpu_s = time.process_time() - started
        costs_us.append(cpu_s / size * US_PER_S)
        memory.append(float(chat_memory.allocated_bytes))
    return [
        Series('chat memory', 'B', 'chats', sizes, tuple(memory)),
        Series('remember a chat', 'µs', 'chats', sizes, tuple(costs_us)),
    ]


def by_routers(sizes: tuple[int, ...]) -> list[Series]:
    """Measure the ranking of the routers by rendezvous hash."""
    costs_us = []
    for size in sizes:
        nodes = [RouterNode(f'r{n}', '', '', 'z') for n in range(size)]
        started = time.process_time()
        for partition in range(20):
            rank_homes(SERVICE, partition, nodes)
        cpu_s = time.process_time() - started
        costs_us.append(cpu_s / 20 * US_PER_S)
    return [Series('find a home', 'µs', 'routers', sizes, tuple(costs_us))]
