"""
bergamotshed.dispatch.engine_run
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tells whether an engine has crashed since a request was sent to it.
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

BOOT_TIMEOUT_S = 0.3
CONFIRMATIONS = 20
CONFIRMATION_PAUSE = timedelta(milliseconds=50)


class EngineRun:
    """One run of an engine's process, from one of its boots to its end."""

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
        self._down = False
        self._silent = False

    @property
    def crash(self) -> Crash:
        """Return the name of this run's crash, should it come."""
        return Crash(self._engine.name, self._boot)

    @property
    def boot(self) -> str:
        """Return the boot id, or empty while it is not known."""
        return self._boot

    async def identify(self) -> None:
        """Ask an engine that is new to this router for its boot id.

        Without it a crash could not be told from a lost connection.
        """
        with suppress(EngineError, TimeoutError):
            async with asyncio.timeout(BOOT_TIMEOUT_S):
                report = await self._client.load(self._engine.address)
            if self._boots.record_boot(self._engine.name, report.boot):
                self._boot = report.boot

    def met(self, error: EngineError) -> None:
        """Take what a connection to the engine showed."""
        self._down = isinstance(error, EngineDown)
        self._silent = isinstance(error, EngineSilent)

    async def answers(self) -> bool:
        """Tell whether the engine answers at all."""
        return await self._ask() is not None

    async def crashed(self) -> bool:
        """Tell whether this run is over.

        Silence is no crash: the engine may be paused, or cut off from here.
        To hang up on the question says nothing either, but what the engine
        says once it is back does.
        """
        for _ in range(CONFIRMATIONS):
            if self._down or self._silent:
                return self._down
            report = await self._ask()
            if report and self._boots.record_boot(
                self._engine.name, report.boot
            ):
                return bool(self._boot) and report.boot != self._boot
            await self._clock.sleep(CONFIRMATION_PAUSE)
        return self._down

    async def _ask(self) -> LoadReport | None:
        try:
            return await self._client.load(self._engine.address)
        except EngineError as error:
            self.met(error)
            return None
