"""
bergamotshed.gateway.main
~~~~~~~~~~~~~~~~~~~~~~~~~

The life cycle of a gateway process: starts the parts, handles signals and
ends after a graceful shutdown.
"""

__all__ = ('run_gateway',)

import asyncio
import signal
import sys
from collections.abc import Callable
from datetime import timedelta
from functools import partial

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
from .live_settings import LiveSettings
from .parts import Gateway, TaskFunction
from .settings import GatewaySettings

SUPPRESSED_HEADERS = ('User-Agent', 'Accept', 'Accept-Encoding')
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
MAINTENANCE_INTERVAL = timedelta(seconds=1)
#: Minimum time for which a stopping gateway serves callers that still have its
#: address, in lifetimes of the list of entry addresses: some callers keep the
#: list for three lifetimes.
MIN_DRAIN_LIFETIMES = 3
POLL_INTERVAL = timedelta(milliseconds=50)
#: How often, and how many times, it is checked whether the requests that were
#: ended are answered.
END_POLL_INTERVAL = timedelta(milliseconds=10)
END_POLLS = 20
#: How long callers that connect during startup wait for the store's first
#: answers before requests are handled without them; tens of times the usual
#: response time of the store.
START_TIMEOUT = timedelta(milliseconds=300)


def run_gateway(
    settings: GatewaySettings, path: str, listeners: Listeners
) -> int:
    """Run one gateway until it has shut down after a stop signal.

    :param path: its settings file, reloaded when it changes
    :param listeners: listening sockets of the callers' and the directory's
        address
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
    stop_requested = asyncio.Event()
    live = LiveSettings(settings, path, clock)
    _handle_stop(stop_requested.set)
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, live.reload)
    connector = TCPConnector(
        limit=0, ttl_dns_cache=0, socket_factory=keepalive_socket
    )
    async with ClientSession(
        connector=connector,
        skip_auto_headers=SUPPRESSED_HEADERS,
        cookie_jar=DummyCookieJar(),
    ) as session:
        gateway = build_gateway(live, session, clock, journal)
        _handle_stop(partial(_request_stop, gateway, stop_requested))
        await _start(gateway, stream, listeners)
        await stop_requested.wait()
        await _drain(gateway)
        await _stop_servers(gateway)
    stream.flush()


def _handle_stop(handler: Callable[[], None]) -> None:
    """Call a handler for each signal to stop, in place of an earlier one."""
    loop = asyncio.get_running_loop()
    for signal_number in STOP_SIGNALS:
        loop.add_signal_handler(signal_number, handler)


def _request_stop(gateway: Gateway, stop_requested: asyncio.Event) -> None:
    gateway.shutdown.begin()
    stop_requested.set()


async def _start(
    gateway: Gateway, stream: LogStream, listeners: Listeners
) -> None:
    addresses = gateway.settings.addresses
    await asyncio.gather(
        gateway.health.start(),
        gateway.operators.start(),
        gateway.relay.start(),
    )
    await _start_tasks(gateway, stream.run, *gateway.tasks)
    followers = gateway.fleet.followers.values()
    await wait_until_listed(followers, START_TIMEOUT)
    await asyncio.gather(gateway.learn_newest_version(), gateway.learn_limits())
    await gateway.directory.start(listeners[addresses.directory])
    await gateway.edge.start(listeners[addresses.callers])
    await _start_tasks(
        gateway, lambda: _maintain(gateway), gateway.announcer.run
    )
    log_message('gateway.started', addresses=repr(gateway.settings.addresses))


async def _start_tasks(gateway: Gateway, *tasks: TaskFunction) -> None:
    await aiomisc.entrypoint.get_current().start_services(
        *(BackgroundTask(run, gateway.clock) for run in tasks)
    )


async def _maintain(gateway: Gateway) -> None:
    while True:
        await gateway.clock.sleep(MAINTENANCE_INTERVAL)
        gateway.run_maintenance()


async def _drain(gateway: Gateway) -> None:
    """Leave the fleet and finish the requests in flight."""
    gateway.shutdown.begin()
    gateway.edge.drain()
    gateway.announcer.leave()
    log_message(
        'gateway.leaving',
        in_flight=gateway.in_flight,
        signal_age_at_most=round(
            gateway.shutdown.max_elapsed.total_seconds(), 3
        ),
    )
    min_drain = timedelta(
        seconds=gateway.settings.directory.lifetime_s * MIN_DRAIN_LIFETIMES
    )
    while gateway.shutdown.remaining > timedelta(0):
        if gateway.shutdown.elapsed >= min_drain and not gateway.is_answering:
            break
        await gateway.clock.sleep(POLL_INTERVAL)
    await _end_requests(gateway)


async def _end_requests(gateway: Gateway) -> None:
    """End the requests that are still in flight, each with an answer."""
    if not gateway.in_flight:
        return
    log_message('gateway.requests_ended', in_flight=gateway.in_flight)
    gateway.forwarding.timeouts.expire_all()
    for _ in range(END_POLLS):
        await gateway.clock.sleep(END_POLL_INTERVAL)
        if not gateway.in_flight:
            break


async def _stop_servers(gateway: Gateway) -> None:
    log_message('gateway.stopped', in_flight=gateway.in_flight)
    await gateway.edge.stop()
    await gateway.relay.stop()
    for server in (gateway.health, gateway.directory, gateway.operators):
        await server.stop()
    gateway.forwarding.pool.close()
