"""
bergamotshed.dispatch.attempt
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One attempt of a chat on one engine. It reconnects when a connection is cut.
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
from ..routing.part_sightings import ANSWER_START
from ..routing.quarantine import Quarantine
from ..routing.retry import RetryBudget
from ..routing.types import (
    Outcome,
    Placement,
    PlacementRequest,
    Placer,
    Upstream,
)
from .engine_run import EngineRun
from .task_set import TaskSet

MAX_REATTACHES = 2


@dataclass(frozen=True, slots=True)
class ChatDependencies:
    """Dependencies that all chat runs share."""

    placer: Placer
    engines: EngineClient
    quarantine: Quarantine
    boots: BootRegistry
    budget: RetryBudget
    fingerprint_locks: FingerprintLocks
    background_tasks: TaskSet
    clock: Clock


class Attempt:
    """Holds a placement and an engine's stream until :meth:`end`.

    :param placement_request: the request that got the placement; the placer
        needs it for the release
    :param request: the request that is sent to the engine
    """

    def __init__(
        self,
        dependencies: ChatDependencies,
        placement_request: PlacementRequest,
        placement: Placement,
        request: EngineRequest,
    ) -> None:
        self._dependencies = dependencies
        self._placement_request = placement_request
        self._placement = placement
        self._request = request
        self._engine_run = _current_engine_run(dependencies, placement.upstream)
        self._offset = request.resume.offset if request.resume else 0
        self._started_at = dependencies.clock.monotonic()
        self._cut_at = self._started_at
        self._first_event_at: float | None = None
        self._reattach_count = 0
        self._is_released = False
        self._may_have_been_sent = False
        self._events = dependencies.engines.stream(self._address, request)

    @property
    def number(self) -> int:
        """Return 1 for the first attempt of a request."""
        return self._request.attempt

    @property
    def upstream(self) -> str:
        """Return the name of the engine."""
        return self._placement.upstream.name

    @property
    def engine_run(self) -> EngineRun:
        """Return the engine run that the attempt was sent to."""
        return self._engine_run

    @property
    def started_at(self) -> float:
        """Return when the attempt started, in monotonic seconds."""
        return self._started_at

    @property
    def cut_at(self) -> float:
        """Return when the first connection was cut, in monotonic seconds.

        Equal to :attr:`started_at` while no connection was cut.
        """
        return self._cut_at

    @property
    def has_survived_start(self) -> bool:
        """Return whether the engine was answering for some time when the first
        connection was cut.
        """
        if self._first_event_at is None:
            return False
        return (
            self._cut_at - self._first_event_at > ANSWER_START.total_seconds()
        )

    @property
    def may_have_been_sent(self) -> bool:
        """Return whether any byte of the request may have been sent.

        False if the first connection failed before anything was sent, or if
        the engine refused the request without running it.
        """
        return self._may_have_been_sent

    async def next_event(self) -> Chunk | Finish:
        """Return the next event; reconnects if the connection was cut.

        :raises EngineError: the attempt is lost; :class:`EngineCut` if the
            engine may have run it
        """
        if not self._may_have_been_sent and not self._engine_run.boot:
            await self._engine_run.identify()
        while True:
            self._may_have_been_sent = True
            try:
                event = await anext(self._events)
            except StopAsyncIteration:
                await self._reattach(
                    EngineCut('the stream ended without its finish event')
                )
            except EngineError as error:
                await self._reattach(error)
            else:
                self._record_event(event)
                return event

    async def end(self, outcome: Outcome, cached_tokens: int = 0) -> None:
        """Release the placement and cancel the request if it may still run.

        Only the first call has an effect.

        :param cached_tokens: history tokens that the engine served from cache
        """
        if self._is_released:
            return
        self._is_released = True
        self._dependencies.placer.release(
            self._placement_request, self._placement, outcome, cached_tokens
        )
        if outcome is Outcome.DONE:
            # Reads to the end of the stream, so that the connection can be
            # reused.
            self._dependencies.background_tasks.start(_exhaust(self._events))
            return
        await _close(self._events)
        if outcome in {Outcome.CUT, Outcome.CANCELLED}:
            self._dependencies.background_tasks.start(
                self._dependencies.engines.cancel(
                    self._address, self._request.request
                )
            )

    @property
    def _address(self) -> str:
        return self._placement.upstream.address

    def _record_event(self, event: Chunk | Finish) -> None:
        self._offset = event.offset + 1
        if self._first_event_at is None:
            self._first_event_at = self._dependencies.clock.monotonic()

    async def _reattach(self, error: EngineError) -> None:
        """Request the rest of the stream from the engine, or raise.

        :raises EngineError: the attempt is lost
        """
        is_cut = isinstance(error, EngineCut)
        if self._reattach_count == 0:
            self._cut_at = self._dependencies.clock.monotonic()
            if not is_cut:
                self._may_have_been_sent = False
                raise error
        self._engine_run.record_error(error)
        if self._reattach_count == MAX_REATTACHES or not is_cut:
            raise EngineCut(
                'the stream was cut and cannot be resumed'
            ) from error
        is_silent = isinstance(error, EngineSilent)
        if is_silent and not await self._engine_run.is_responding():
            raise error
        self._reattach_count += 1
        await _close(self._events)
        self._events = self._dependencies.engines.reattach(
            self._address, self._request, self._offset
        )


def _current_engine_run(
    dependencies: ChatDependencies, engine: Upstream
) -> EngineRun:
    run = EngineRun(
        engine, dependencies.engines, dependencies.boots, dependencies.clock
    )
    if not dependencies.quarantine.is_crash_known(run.crash):
        return run
    # Another router reported the crash of this run, so the boot id of the
    # engine's current run has to be queried.
    dependencies.boots.record_end(engine.name)
    return EngineRun(
        engine, dependencies.engines, dependencies.boots, dependencies.clock
    )


async def _exhaust(events: AsyncIterator[Chunk | Finish]) -> None:
    with suppress(EngineError, StopAsyncIteration):
        await anext(events)


async def _close(events: AsyncIterator[Chunk | Finish]) -> None:
    aclose = getattr(events, 'aclose', None)
    if aclose is not None:
        await aclose()
