"""
bergamotshed.gateway.main
~~~~~~~~~~~~~~~~~~~~~~~~~

The life of a gateway process: starts the wired parts, obeys signals and ends
when the planned stop is over.
"""

__all__ = ('run_gateway',)

import asyncio
import signal
import sys
from datetime import timedelta

import aiomisc
from aiohttp import ClientSession, DummyCookieJar, TCPConnector
from eliot import log_message

from ..clock import SystemClock
from ..process.logstream import LogStream
from ..process.tasks import BackgroundTask
from ..sockets import Listeners, keepalive_socket
from ..store.follower import wait_until_listed
from ..telemetry import setup_nonblocking_logging
from .composition import build_gateway
from .live import LiveSettings
from .parts import Gateway, Run
from .settings import GatewaySettings

UNUSED_HEADERS = ('User-Agent', 'Accept', 'Accept-Encoding')
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
#: Time between two rounds of tidying up.
TIDY_EVERY = timedelta(seconds=1)
#: Least time for which a stopping gateway serves callers that still hold
#: its address, in lifetimes of the list that they were given: some keep it
#: three times as long.
STALE_LIFETIMES = 3
POLL = timedelta(milliseconds=50)
#: How long callers that came during the start may wait for the store's first
#: answers before they are answered without: tens of such answers' time.
START_PATIENCE = timedelta(milliseconds=300)


def run_gateway(
    settings: GatewaySettings, path: str, listeners: Listeners
) -> int:
    """Run one gateway until a stop signal was obeyed.

    :param path: its settings file, read again when it changes
    :param listeners: sockets of the callers' and the directory's addresses
    :returns: the exit code
    """
    with aiomisc.entrypoint(log_config=False, catch_signals=()) as loop:
        loop.run_until_complete(_serve(settings, path, listeners))
    return 0


async def _serve(
    settings: GatewaySettings, path: str, listeners: Listeners
) -> None:
    clock = SystemClock()
    journal, stream = setup_nonblocking_logging(
        sys.stdout.fileno(), settings.node.name, clock
    )
    stopping = asyncio.Event()
    live = LiveSettings(settings, path, clock)
    _obey_signals(stopping, live)
    connector = TCPConnector(
        limit=0, ttl_dns_cache=0, socket_factory=keepalive_socket
    )
    async with ClientSession(
        connector=connector,
        skip_auto_headers=UNUSED_HEADERS,
        cookie_jar=DummyCookieJar(),
    ) as session:
        gateway = build_gateway(live, session, clock, journal)
        await _start(gateway, stream, listeners)
        await stopping.wait()
        await _leave(gateway)
        await _finish(gateway)
    stream.flush()


def _obey_signals(stopping: asyncio.Event, live: LiveSettings) -> None:
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, live.reload)


async def _start(
    gateway: Gateway, stream: LogStream, listeners: Listeners
) -> None:
    addresses = gateway.settings.addresses
    await gateway.health.start()
    await gateway.operators.start()
    await _run_all(gateway, stream.run, *gateway.tasks)
    followers = gateway.knowledge.followers.values()
    await wait_until_listed(followers, START_PATIENCE)
    await gateway.directory.start(listeners[addresses.directory])
    await gateway.edge.start(listeners[addresses.callers])
    await _run_all(gateway, lambda: _keep_tidy(gateway), gateway.announcer.run)
    log_message('gateway.started', addresses=repr(gateway.settings.addresses))


async def _run_all(gateway: Gateway, *tasks: Run) -> None:
    await aiomisc.entrypoint.get_current().start_services(
        *(BackgroundTask(run, gateway.clock) for run in tasks)
    )


async def _keep_tidy(gateway: Gateway) -> None:
    while True:
        await gateway.clock.sleep(TIDY_EVERY)
        gateway.tidy()


async def _leave(gateway: Gateway) -> None:
    """Leave the fleet and finish what callers wait for."""
    gateway.stop.begin()
    gateway.knowledge.roster.leaving = True
    gateway.edge.drain()
    gateway.announcer.leave()
    log_message('gateway.leaving', in_flight=gateway.edge.in_flight)
    stale = timedelta(
        seconds=gateway.settings.directory.lifetime_s * STALE_LIFETIMES
    )
    while gateway.stop.remaining > timedelta(0):
        if gateway.stop.elapsed >= stale and not gateway.edge.in_flight:
            break
        await gateway.clock.sleep(POLL)


async def _finish(gateway: Gateway) -> None:
    log_message('gateway.stopped', in_flight=gateway.edge.in_flight)
    await gateway.edge.stop()
    for server in (gateway.health, gateway.directory, gateway.operators):
        await server.stop()
    gateway.shared.pool.close()
