"""
bergamotshed.dispatch.engine_run
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Detects whether an engine has crashed since a request was sent to it.
"""

__all__ = ('EngineRun',)

import asyncio
from contextlib import suppress
from datetime import timedelta

from ..clock import Clock
from ..engines.types import (
    EngineClient,
    EngineDown,
    EngineError,
    EngineSilent,
    LoadReport,
)
from ..routing.boots import BootRegistry
from ..routing.quarantine import Crash
from ..routing.types import Upstream

BOOT_ID_TIMEOUT_S = 0.3
MAX_CRASH_CHECKS = 20
CRASH_CHECK_INTERVAL = timedelta(milliseconds=50)


class EngineRun:
    """One process lifetime of an engine, identified by its boot id."""

    def __init__(
        self,
        engine: Upstream,
        client: EngineClient,
        boots: BootRegistry,
        clock: Clock,
    ) -> None:
        self._engine = engine
        self._client = client
        self._boots = boots
        self._clock = clock
        self._boot = boots.current_boot(engine.name)
        self._is_down = False
        self._is_silent = False

    @property
    def crash(self) -> Crash:
        """Return the identity of a crash that ends this run."""
        return Crash(self._engine.name, self._boot)

    @property
    def boot(self) -> str:
        """Return the boot id; empty while it is unknown."""
        return self._boot

    async def identify(self) -> None:
        """Query the boot id of an engine that is new to this router.

        Without it, a crash could not be distinguished from a lost connection.
        """
        with suppress(EngineError, TimeoutError):
            async with asyncio.timeout(BOOT_ID_TIMEOUT_S):
                report = await self._client.load(self._engine.address)
            if self._boots.record_boot(self._engine.name, report.boot):
                self._boot = report.boot

    def record_error(self, error: EngineError) -> None:
        """Record how a connection to the engine failed."""
        self._is_down = isinstance(error, EngineDown)
        self._is_silent = isinstance(error, EngineSilent)

    async def is_responding(self) -> bool:
        """Return whether the engine answers a load query."""
        return await self._fetch_report() is not None

    async def has_crashed(self) -> bool:
        """Return whether this run has ended.

        A timeout does not count as a crash: the engine may be paused, or
        unreachable from this router. A cut connection proves nothing either:
        the query is repeated, as an engine that restarted reports another
        boot id.
        """
        for _ in range(MAX_CRASH_CHECKS):
            if self._is_down or self._is_silent:
                return self._is_down
            report = await self._fetch_report()
            if report and self._boots.record_boot(
                self._engine.name, report.boot
            ):
                return bool(self._boot) and report.boot != self._boot
            await self._clock.sleep(CRASH_CHECK_INTERVAL)
        return self._is_down

    async def _fetch_report(self) -> LoadReport | None:
        try:
            return await self._client.load(self._engine.address)
        except EngineError as error:
            self.record_error(error)
            return None
