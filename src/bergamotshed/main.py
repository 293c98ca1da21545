"""
bergamotshed.main
~~~~~~~~~~~~~~~~~

Runs a router process: starts the parts, drains on SIGTERM or SIGINT and
exits when the drain is complete.
"""

__all__ = ('run_router',)

import asyncio
import signal

import aiomisc
from aiohttp import ClientSession, TCPConnector

from .composition import build_router
from .parts import Router
from .process.tasks import BackgroundTask
from .settings import Settings

SUPPRESSED_HEADERS = ('User-Agent', 'Accept', 'Accept-Encoding')
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def run_router(settings: Settings) -> int:
    """Run one router until a stop signal; return its exit code."""
    with aiomisc.entrypoint(log_config=False, catch_signals=()) as loop:
        loop.run_until_complete(_serve(settings))
    return 0


async def _serve(settings: Settings) -> None:
    connector = TCPConnector(limit=0, ttl_dns_cache=0)
    async with ClientSession(
        connector=connector, skip_auto_headers=SUPPRESSED_HEADERS
    ) as session:
        router = build_router(settings, session)
        await _start(router)
        await router.drain.run()
        await _shut_down(router)


async def _start(router: Router) -> None:
    loop = asyncio.get_running_loop()
    for stop_signal in STOP_SIGNALS:
        loop.add_signal_handler(stop_signal, router.drain.request)
    await router.fleet_parts.mesh.start()
    await router.operators.start()
    await router.request_parts.server.start()
    await aiomisc.entrypoint.get_current().start_services(
        *(BackgroundTask(run, router.clock) for run in router.tasks)
    )


async def _shut_down(router: Router) -> None:
    """Stop the remaining parts once no request is in flight."""
    await router.request_parts.server.drain()
    await router.request_parts.chat.drain()
    await router.request_parts.plain.drain()
    await router.request_parts.claims.close()
    await router.control_parts.lease.release()
    await router.request_parts.server.stop()
    await router.operators.stop()
    await router.fleet_parts.mesh.close()
