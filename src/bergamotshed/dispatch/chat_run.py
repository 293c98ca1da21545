"""
bergamotshed.dispatch.chat_run
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One chat from its placement to its last token, over as many attempts as it
takes.
"""

__all__ = ('ChatRun',)

from collections.abc import AsyncGenerator
from contextlib import suppress
from datetime import timedelta

from ..engines.types import (
    Chunk,
    EngineError,
    EngineOverloaded,
    EngineRejected,
    EngineUnreachable,
    Finish,
)
from ..reasons import Reason, Refusal
from ..routing.retry import NextStep, next_step
from ..routing.types import Outcome
from . import failures
from .attempt import Attempt, ChatDependencies
from .chat_spec import ChatSpec
from .deadline import Deadline
from .suspicion import RequestSuspicion
from .target import ChatTarget
from .trace import RequestTrace
from .types import AttemptStarted, ChatCall, Event, Failure

MAX_ATTEMPTS = 4


class ChatRun:
    """Runs one chat; :meth:`events` gives what its caller is told."""

    def __init__(
        self, call: ChatCall, target: ChatTarget, using: ChatDependencies
    ) -> None:
        self._spec = ChatSpec(call, target)
        self._using = using
        self._trace = RequestTrace('chat', call.options, target.service.name)
        self._deadline = Deadline(using.clock, call.options.deadline)
        self._suspicion = RequestSuspicion(
            self._spec.fingerprint,
            using.quarantine,
            using.turns,
            using.clock,
        )
        self._at_most_once = call.options.at_most_once
        self._attempt: Attempt | None = None
        self._attempts = 0
        self._excluded: frozenset[str] = frozenset()
        self._texts: list[str] = []
        self._ended = False
        self._ran_before = False

    @property
    def may_have_run(self) -> bool:
        """Tell whether any byte of the request may have reached an engine."""
        attempt = self._attempt
        return self._ran_before or (attempt is not None and attempt.sent)

    @property
    def deadline(self) -> Deadline:
        """Return the time that is left to the chat."""
        return self._deadline

    @property
    def text(self) -> str:
        """Return the text that was given so far."""
        return ''.join(self._texts)

    async def events(self) -> AsyncGenerator[Event, None]:
        """Give the chat's events; the last is a finish or a failure."""
        self._using.budget.earn(self._spec.service)
        try:
            while not self._ended:
                if self._attempt is None:
                    yield await self._begin()
                else:
                    yield await self._next(self._attempt)
        finally:
            await self._close()

    async def _next(self, attempt: Attempt) -> Event:
        try:
            event = await self._deadline.wait(attempt.next())
        except TimeoutError:
            return self._end(self._refusal(Refusal(Reason.DEADLINE)))
        except EngineError as error:
            return await self._go_on(attempt, error)
        return await self._take(attempt, event)

    async def _begin(self) -> AttemptStarted | Failure:
        try:
            await self._deadline.wait(self._suspicion.enter())
        except TimeoutError:
            return self._end(self._refusal(Refusal(Reason.DEADLINE)))
        if self._suspicion.is_quarantined:
            return self._end(failures.quarantined())
        suspect = self._suspicion.is_suspect
        asked = self._spec.placement(
            self._deadline.remaining, self._excluded, suspect=suspect
        )
        placement = await self._using.placer.place(asked)
        if isinstance(placement, Refusal):
            return self._end(self._refusal(placement))
        if self._suspicion.is_quarantined or self._suspicion.is_held:
            # The crash of another run became known while this one waited.
            self._using.placer.release(asked, placement, Outcome.CANCELLED)
            return await self._begin()
        self._attempts += 1
        request = self._spec.attempt(self._attempts, self._texts)
        self._attempt = Attempt(self._using, asked, placement, request)
        self._trace.began(
            self._attempts, self._attempt.upstream, placement.home
        )
        return AttemptStarted(self._attempt.upstream)

    async def _take(self, attempt: Attempt, event: Chunk | Finish) -> Event:
        if isinstance(event, Chunk):
            self._texts.append(event.text)
            return event
        self._ended = True
        await attempt.end(Outcome.DONE, event.cached)
        self._trace.ended(attempt.number, attempt.upstream, Outcome.DONE)
        self._trace.answered(event)
        return event

    async def _go_on(self, attempt: Attempt, error: EngineError) -> Event:
        """Account for a lost attempt and begin another, or give up."""
        outcome = _outcome(error)
        self._excluded |= {attempt.upstream}
        self._trace.ended(attempt.number, attempt.upstream, outcome, str(error))
        if outcome is Outcome.CUT:
            self._ran_before = True
            await self._look_for_crash(attempt)
        await attempt.end(outcome)
        self._attempt = None
        if isinstance(error, EngineRejected):
            failure = failures.failed(Reason.ENGINE_REJECTED, str(error))
            return self._end(failure)
        refused = self._refused_after(outcome, _advice(error))
        if refused is not None:
            return self._end(self._refusal(refused))
        return await self._begin()

    async def _look_for_crash(self, attempt: Attempt) -> None:
        suspicion = self._suspicion
        engine_run = attempt.engine_run
        crash = engine_run.crash
        with (
            suppress(TimeoutError),
            suspicion.investigating(crash, attempt.cut_at),
        ):
            if not suspicion.is_suspect:
                await attempt.end(Outcome.CUT)
            # The place of a suspect is kept, so that no other run of it
            # begins before this one has shown what it did.
            await self._deadline.wait(suspicion.hold())
            if await self._deadline.wait(engine_run.crashed()):
                suspicion.record_crash(crash, attempt.began, attempt.cut_at)

    def _refused_after(
        self, outcome: Outcome, advice: timedelta | None
    ) -> Refusal | None:
        """Decide whether no other attempt may follow, and why."""
        step = next_step(outcome, at_most_once=self._at_most_once)
        if step is NextStep.GIVE_UP:
            return Refusal(Reason.ENGINE_CUT)
        if self._suspicion.is_quarantined:
            return Refusal(Reason.QUARANTINED)
        if self._attempts >= MAX_ATTEMPTS:
            return Refusal(Reason.ENGINE_REFUSED, advice)
        lost = outcome is Outcome.CUT
        if not self._using.budget.spend(self._spec.service, can_overdraw=lost):
            return Refusal(Reason.RETRY_BUDGET, advice)
        return None

    def _refusal(self, refused: Refusal) -> Failure:
        if refused.reason is Reason.QUARANTINED:
            return failures.quarantined()
        if self.may_have_run:
            return failures.unknown(refused)
        return failures.not_run(refused)

    async def _close(self) -> None:
        if self._attempt is not None:
            await self._attempt.end(Outcome.CANCELLED)
        self._deadline.close()
        self._suspicion.leave()
        self._trace.left()

    def _end(self, failure: Failure) -> Failure:
        self._ended = True
        self._trace.gave_up(failure)
        return failure


def _outcome(error: EngineError) -> Outcome:
    if isinstance(error, EngineUnreachable):
        return Outcome.UNREACHABLE
    if isinstance(error, EngineOverloaded):
        return Outcome.REFUSED
    if isinstance(error, EngineRejected):
        return Outcome.CANCELLED
    return Outcome.CUT


def _advice(error: EngineError) -> timedelta | None:
    return error.retry_after if isinstance(error, EngineOverloaded) else None
