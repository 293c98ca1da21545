"""
bergamotshed.dispatch.attempt
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One try of a chat on one engine, over as many connections as it takes.
"""

__all__ = ('Attempt', 'ChatDependencies')

from collections.abc import AsyncIterator
from contextlib import suppress
from dataclasses import dataclass

from ..clock import Clock
from ..engines.types import (
    Chunk,
    EngineClient,
    EngineCut,
    EngineError,
    EngineRequest,
    EngineSilent,
    Finish,
)
from ..routing.boots import BootRegistry
from ..routing.fingerprint_locks import FingerprintLocks
from ..routing.quarantine import Quarantine
from ..routing.retry import RetryBudget
from ..routing.types import (
    Outcome,
    Placement,
    PlacementRequest,
    Placer,
    Upstream,
)
from .background import Background
from .engine_run import EngineRun

MAX_REATTACHES = 2


@dataclass(frozen=True, slots=True)
class ChatDependencies:
    """What every run works with."""

    placer: Placer
    engines: EngineClient
    quarantine: Quarantine
    boots: BootRegistry
    budget: RetryBudget
    turns: FingerprintLocks
    background: Background
    clock: Clock


class Attempt:
    """Holds a place and a stream until :meth:`end`.

    :param asked: what the placer was asked, for the release
    """

    def __init__(
        self,
        using: ChatDependencies,
        asked: PlacementRequest,
        placement: Placement,
        request: EngineRequest,
    ) -> None:
        self._using = using
        self._asked = asked
        self._placement = placement
        self._request = request
        self._engine_run = _engine_run(using, placement.upstream)
        self._offset = request.resume.offset if request.resume else 0
        self._began = using.clock.monotonic()
        self._cut_at = self._began
        self._reattaches = 0
        self._released = False
        self._sent = False
        self._source = using.engines.stream(self._address, request)

    @property
    def number(self) -> int:
        """Return 1 for the first attempt of a request."""
        return self._request.attempt

    @property
    def upstream(self) -> str:
        """Return the engine's name."""
        return self._placement.upstream.name

    @property
    def engine_run(self) -> EngineRun:
        """Return the engine's run that the attempt was sent to."""
        return self._engine_run

    @property
    def began(self) -> float:
        """Return when the attempt began, in monotonic seconds."""
        return self._began

    @property
    def cut_at(self) -> float:
        """Return when its first connection was cut, in monotonic seconds."""
        return self._cut_at

    @property
    def sent(self) -> bool:
        """Tell whether any byte of the request may have left.

        It stays false while the first connection is provably refused.
        """
        return self._sent

    async def next(self) -> Chunk | Finish:
        """Return the next event, from a new connection if one was cut.

        :raises EngineError: the attempt is lost; :class:`EngineCut` if the
            engine may have run it
        """
        if not self._sent and not self._engine_run.boot:
            await self._engine_run.identify()
        while True:
            self._sent = True
            try:
                event = await anext(self._source)
            except StopAsyncIteration:
                await self._reattach(EngineCut('the stream has no more events'))
            except EngineError as error:
                await self._reattach(error)
            else:
                self._offset = event.offset + 1
                return event

    async def end(self, outcome: Outcome, cached: int = 0) -> None:
        """Release the place and stop what may still run; once."""
        if self._released:
            return
        self._released = True
        self._using.placer.release(
            self._asked, self._placement, outcome, cached
        )
        if outcome is Outcome.DONE:
            # Reads what follows the finish event: the connection lasts.
            self._using.background.start(_exhaust(self._source))
            return
        await _close(self._source)
        if outcome in {Outcome.CUT, Outcome.CANCELLED}:
            self._using.background.start(
                self._using.engines.cancel(self._address, self._request.request)
            )

    @property
    def _address(self) -> str:
        return self._placement.upstream.address

    async def _reattach(self, error: EngineError) -> None:
        """Ask the engine for the rest, or raise."""
        cut = isinstance(error, EngineCut)
        if self._reattaches == 0:
            self._cut_at = self._using.clock.monotonic()
            if not cut:
                self._sent = False
                raise error
        self._engine_run.met(error)
        if self._reattaches == MAX_REATTACHES or not cut:
            raise EngineCut('the attempt is lost') from error
        silent = isinstance(error, EngineSilent)
        if silent and not await self._engine_run.answers():
            raise error
        self._reattaches += 1
        await _close(self._source)
        self._source = self._using.engines.reattach(
            self._address, self._request, self._offset
        )


def _engine_run(using: ChatDependencies, engine: Upstream) -> EngineRun:
    run = EngineRun(engine, using.engines, using.boots, using.clock)
    if not using.quarantine.is_crash_known(run.crash):
        return run
    # Another router has seen this run end; the next one has to be asked for.
    using.boots.record_end(engine.name)
    return EngineRun(engine, using.engines, using.boots, using.clock)


async def _exhaust(source: AsyncIterator[Chunk | Finish]) -> None:
    with suppress(EngineError, StopAsyncIteration):
        await anext(source)


async def _close(source: AsyncIterator[Chunk | Finish]) -> None:
    aclose = getattr(source, 'aclose', None)
    if aclose is not None:
        await aclose()
