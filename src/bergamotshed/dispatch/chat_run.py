"""
bergamotshed.dispatch.chat_run
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Runs one chat from its placement to its last token, with retries.
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
from ..routing.retry import LAST_ATTEMPT_REASONS, NextStep, next_step
from ..routing.types import Outcome
from . import failures
from .attempt import Attempt, ChatDependencies
from .chat_spec import ChatSpec
from .deadline import Deadline
from .request_suspicion import RequestSuspicion
from .target import ChatTarget
from .trace import RequestTrace
from .types import AttemptStarted, ChatCall, Event, Failure

MAX_ATTEMPTS = 4


class ChatRun:
    """Runs one chat; :meth:`events` yields what the caller receives."""

    def __init__(
        self, call: ChatCall, target: ChatTarget, dependencies: ChatDependencies
    ) -> None:
        self._spec = ChatSpec(call, target)
        self._dependencies = dependencies
        self._trace = RequestTrace('chat', call.options, target.service.name)
        self._deadline = Deadline(dependencies.clock, call.options.time_allowed)
        self._suspicion = RequestSuspicion(
            self._spec.fingerprint,
            self._spec.parts,
            dependencies.quarantine,
            dependencies.fingerprint_locks,
            dependencies.clock,
        )
        self._at_most_once = call.options.at_most_once
        self._attempt: Attempt | None = None
        self._attempt_count = 0
        self._excluded: frozenset[str] = frozenset()
        self._texts: list[str] = []
        self._has_ended = False
        self._may_have_run_before = False

    @property
    def may_have_run(self) -> bool:
        """Return whether any byte of the request may have reached an engine."""
        attempt = self._attempt
        return self._may_have_run_before or (
            attempt is not None and attempt.may_have_been_sent
        )

    @property
    def deadline(self) -> Deadline:
        """Return the deadline of the chat."""
        return self._deadline

    @property
    def text(self) -> str:
        """Return the text that was yielded so far."""
        return ''.join(self._texts)

    async def events(self) -> AsyncGenerator[Event, None]:
        """Yield the chat's events; the last is a finish or a failure."""
        self._dependencies.budget.earn(self._spec.service)
        try:
            while not self._has_ended:
                if self._attempt is None:
                    yield await self._start_attempt()
                else:
                    yield await self._next_event(self._attempt)
        finally:
            await self._close()

    async def _next_event(self, attempt: Attempt) -> Event:
        try:
            event = await self._deadline.wait(attempt.next_event())
        except TimeoutError:
            return self._fail(self._failure(Refusal(Reason.DEADLINE)))
        except EngineError as error:
            return await self._retry_or_fail(attempt, error)
        return await self._accept_event(attempt, event)

    async def _start_attempt(self) -> AttemptStarted | Failure:
        try:
            await self._deadline.wait(self._suspicion.acquire_if_suspect())
        except TimeoutError:
            return self._fail(self._failure(Refusal(Reason.DEADLINE)))
        if self._attempt_count == 0:
            self._suspicion.begin_trial_if_due()
        if self._suspicion.is_quarantined:
            return self._fail(failures.quarantine_failure())
        is_suspect = self._suspicion.is_suspect
        placement_request = self._spec.placement_request(
            self._deadline.remaining, self._excluded, is_suspect=is_suspect
        )
        placement = await self._dependencies.placer.place(placement_request)
        if isinstance(placement, Refusal):
            return self._fail(self._failure(placement))
        if self._suspicion.is_quarantined or self._suspicion.must_wait:
            # A crash of another run was reported while this one waited for its
            # placement.
            self._dependencies.placer.release(
                placement_request, placement, Outcome.CANCELLED
            )
            return await self._start_attempt()
        self._attempt_count += 1
        request = self._spec.engine_request(self._attempt_count, self._texts)
        self._attempt = Attempt(
            self._dependencies, placement_request, placement, request
        )
        self._trace.log_attempt_started(
            self._attempt_count, self._attempt.upstream, placement.home
        )
        return AttemptStarted(self._attempt.upstream)

    async def _accept_event(
        self, attempt: Attempt, event: Chunk | Finish
    ) -> Event:
        if isinstance(event, Chunk):
            self._texts.append(event.text)
            return event
        self._has_ended = True
        self._suspicion.record_answer()
        await attempt.end(Outcome.DONE, event.cached)
        self._trace.log_attempt_ended(
            attempt.number, attempt.upstream, Outcome.DONE
        )
        self._trace.log_answered(event)
        return event

    async def _retry_or_fail(
        self, attempt: Attempt, error: EngineError
    ) -> Event:
        """Record a failed attempt; start another or end with a failure."""
        outcome = _outcome_of(error)
        self._excluded |= {attempt.upstream}
        self._trace.log_attempt_ended(
            attempt.number, attempt.upstream, outcome, str(error)
        )
        if outcome is Outcome.CUT:
            self._may_have_run_before = True
            if attempt.has_survived_start:
                self._suspicion.record_answer()
            await self._check_for_crash(attempt)
        await attempt.end(outcome)
        self._attempt = None
        if isinstance(error, EngineRejected):
            failure = failures.permanent_failure(
                Reason.ENGINE_REJECTED, str(error)
            )
            return self._fail(failure)
        refusal = self._retry_refusal(outcome, _retry_after(error))
        if refusal is not None:
            return self._fail(self._failure(refusal))
        return await self._start_attempt()

    async def _check_for_crash(self, attempt: Attempt) -> None:
        suspicion = self._suspicion
        engine_run = attempt.engine_run
        crash = engine_run.crash
        with (
            suppress(TimeoutError),
            suspicion.record_possible_crash(crash, attempt.cut_at),
        ):
            if not suspicion.is_suspect:
                await attempt.end(Outcome.CUT)
            # A suspect keeps its placement, so that no other run of the same
            # request starts before it is known whether this one crashed
            # the engine.
            await suspicion.acquire_if_free()
            if await self._deadline.wait(engine_run.has_crashed()):
                suspicion.record_crash(
                    crash,
                    attempt.started_at,
                    attempt.cut_at,
                    has_survived_start=attempt.has_survived_start,
                )

    def _retry_refusal(
        self, outcome: Outcome, retry_after: timedelta | None
    ) -> Refusal | None:
        """Return why no further attempt is allowed; ``None`` if it is."""
        step = next_step(outcome, at_most_once=self._at_most_once)
        if step is NextStep.GIVE_UP:
            return Refusal(Reason.ENGINE_CUT)
        if self._suspicion.is_quarantined:
            return Refusal(Reason.QUARANTINED)
        if self._attempt_count >= MAX_ATTEMPTS:
            return Refusal(LAST_ATTEMPT_REASONS[outcome], retry_after)
        is_lost = outcome is Outcome.CUT
        if not self._dependencies.budget.spend(
            self._spec.service, can_overdraw=is_lost
        ):
            return Refusal(Reason.RETRY_BUDGET, retry_after)
        return None

    def _failure(self, refusal: Refusal) -> Failure:
        if refusal.reason is Reason.QUARANTINED:
            return failures.quarantine_failure()
        if self.may_have_run:
            return failures.unknown_outcome_failure(refusal)
        return failures.not_run_failure(refusal)

    async def _close(self) -> None:
        if self._attempt is not None:
            await self._attempt.end(Outcome.CANCELLED)
        self._deadline.close()
        self._suspicion.release()
        self._trace.log_disconnect()

    def _fail(self, failure: Failure) -> Failure:
        self._has_ended = True
        self._trace.log_failure(failure)
        return failure


def _outcome_of(error: EngineError) -> Outcome:
    if isinstance(error, EngineUnreachable):
        return Outcome.UNREACHABLE
    if isinstance(error, EngineOverloaded):
        return Outcome.REFUSED
    if isinstance(error, EngineRejected):
        return Outcome.CANCELLED
    return Outcome.CUT


def _retry_after(error: EngineError) -> timedelta | None:
    return error.retry_after if isinstance(error, EngineOverloaded) else None
