"""
bergamotshed.process.drain
~~~~~~~~~~~~~~~~~~~~~~~~~~

The planned stop of a router. The router leaves the entry addresses that callers
are given, serves callers until the addresses that they hold have expired, and
then waits for the requests in flight.
"""

__all__ = ('Drain', 'DrainPhase')

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from enum import Enum

from eliot import log_message

from ..clock import Clock

POLL_INTERVAL = timedelta(milliseconds=50)


class DrainPhase(Enum):
    """Phase of a planned stop."""

    SERVING = 'serving'
    LEAVING = 'leaving'
    DRAINING = 'draining'
    STOPPED = 'stopped'


class Drain:
    """Runs the phases of a planned stop.

    :param announce_leaving: tells the other routers that this one leaves
    :param entries_lifetime: returns how long callers may use an answer with
        entry addresses
    :param in_flight: returns the number of requests that callers wait for
    :param timeout: how long requests in flight may take to finish
    """

    def __init__(
        self,
        announce_leaving: Callable[[], Awaitable[None]],
        entries_lifetime: Callable[[], timedelta],
        in_flight: Callable[[], int],
        clock: Clock,
        timeout: timedelta,
    ) -> None:
        self._announce_leaving = announce_leaving
        self._entries_lifetime = entries_lifetime
        self._in_flight = in_flight
        self._clock = clock
        self._timeout = timeout
        self._phase = DrainPhase.SERVING
        self._requested = asyncio.Event()

    @property
    def phase(self) -> DrainPhase:
        """Return the current phase."""
        return self._phase

    @property
    def is_leaving(self) -> bool:
        """Return whether the planned stop has begun."""
        return self._requested.is_set()

    def request(self) -> None:
        """Start the planned stop; later calls have no effect."""
        self._requested.set()

    async def run(self) -> None:
        """Wait for the request to stop, then run all phases."""
        await self._requested.wait()
        self._enter_phase(DrainPhase.LEAVING)
        await self._announce_leaving()
        await self._clock.sleep(self._entries_lifetime())
        self._enter_phase(DrainPhase.DRAINING)
        await self._finish_requests()
        self._enter_phase(DrainPhase.STOPPED)

    async def _finish_requests(self) -> None:
        deadline = self._clock.monotonic() + self._timeout.total_seconds()
        while self._in_flight() and self._clock.monotonic() < deadline:
            await self._clock.sleep(POLL_INTERVAL)

    def _enter_phase(self, phase: DrainPhase) -> None:
        self._phase = phase
        log_message('router.drain', phase=phase.value)
