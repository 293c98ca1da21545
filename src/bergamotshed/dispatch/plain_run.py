"""
bergamotshed.dispatch.plain_run
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Runs one plain call from its placement to its answer, with retries.
"""

__all__ = ('PlainCallDependencies', 'PlainRun')

from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from ..fleet import Service
from ..reasons import Reason, Refusal
from ..routing.retry import (
    LAST_ATTEMPT_REASONS,
    NextStep,
    RetryBudget,
    next_step,
)
from ..routing.types import Outcome, Placement, PlacementRequest, Placer
from ..services.types import (
    ServiceAnswer,
    ServiceClient,
    ServiceError,
    ServiceOverloaded,
    ServiceRequest,
    ServiceUnreachable,
)
from . import failures
from .deadline import Deadline
from .fingerprint import chat_hash
from .trace import RequestTrace
from .types import Failure, PlainAnswer, PlainCall

MAX_ATTEMPTS = 4


@dataclass(frozen=True, slots=True)
class PlainCallDependencies:
    """Dependencies that all plain runs share."""

    placer: Placer
    services: ServiceClient
    budget: RetryBudget
    clock: Clock


class PlainRun:
    """Runs one plain call."""

    def __init__(
        self,
        call: PlainCall,
        service: Service,
        dependencies: PlainCallDependencies,
    ) -> None:
        self._call = call
        self._service = service
        self._dependencies = dependencies
        self._trace = RequestTrace('plain', call.options, service.name)
        self._deadline = Deadline(dependencies.clock, call.options.time_allowed)
        self._attempt_count = 0
        self._excluded: frozenset[str] = frozenset()
        self._may_have_run = False

    @property
    def may_have_run(self) -> bool:
        """Return whether any byte of the call may have reached an upstream."""
        return self._may_have_run

    @property
    def deadline(self) -> Deadline:
        """Return the deadline of the call."""
        return self._deadline

    async def answer(self) -> PlainAnswer | Failure:
        """Run the call and return its final answer."""
        self._dependencies.budget.earn(self._service.name)
        try:
            return await self._run()
        finally:
            self._deadline.close()
            self._trace.log_disconnect()

    async def _run(self) -> PlainAnswer | Failure:
        answer: PlainAnswer | Failure | None = None
        while answer is None:
            placement_request = self._placement_request()
            placement = await self._place(placement_request)
            if isinstance(placement, Refusal):
                answer = self._failure(placement)
            else:
                answer = await self._attempt(placement_request, placement)
        if isinstance(answer, Failure):
            self._trace.log_failure(answer)
        else:
            self._trace.log_answered()
        return answer

    async def _place(
        self, placement_request: PlacementRequest
    ) -> Placement | Refusal:
        if self._deadline.has_passed:
            return Refusal(Reason.DEADLINE)
        return await self._dependencies.placer.place(placement_request)

    async def _attempt(
        self, placement_request: PlacementRequest, placement: Placement
    ) -> PlainAnswer | Failure | None:
        """Make one attempt; returns ``None`` if another is allowed."""
        self._attempt_count += 1
        upstream = placement.upstream
        outcome = Outcome.CANCELLED
        self._trace.log_attempt_started(
            self._attempt_count, upstream.name, placement.home
        )
        try:
            answer = await self._call_upstream(upstream.address)
            outcome = _outcome_of(answer)
        finally:
            self._dependencies.placer.release(
                placement_request, placement, outcome
            )
            self._trace.log_attempt_ended(
                self._attempt_count, upstream.name, outcome
            )
        if isinstance(answer, ServiceAnswer):
            return _plain_answer(answer, upstream.name)
        self._excluded |= {upstream.name}
        refusal = self._retry_refusal(outcome, _retry_after(answer))
        return None if refusal is None else self._failure(refusal)

    async def _call_upstream(
        self, address: str
    ) -> ServiceAnswer | ServiceError:
        try:
            return await self._dependencies.services.call(
                address, self._service_request(), self._deadline.remaining
            )
        except ServiceError as error:
            return error

    def _retry_refusal(
        self, outcome: Outcome, retry_after: timedelta | None
    ) -> Refusal | None:
        """Return why no further attempt is allowed; ``None`` if it is."""
        if outcome is Outcome.CUT:
            self._may_have_run = True
        if self._deadline.has_passed:
            return Refusal(Reason.DEADLINE)
        step = next_step(outcome, at_most_once=self._call.options.at_most_once)
        if step is NextStep.GIVE_UP:
            return Refusal(Reason.ENGINE_CUT)
        if self._attempt_count >= MAX_ATTEMPTS:
            return Refusal(LAST_ATTEMPT_REASONS[outcome], retry_after)
        if not self._dependencies.budget.spend(self._service.name):
            return Refusal(Reason.RETRY_BUDGET, retry_after)
        return None

    def _placement_request(self) -> PlacementRequest:
        options = self._call.options
        return PlacementRequest(
            request=options.request_id,
            service=self._service.name,
            organisation=options.organisation,
            chat=chat_hash(options.organisation, options.request_id),
            priority=options.priority,
            deadline=self._deadline.remaining,
            excluded=self._excluded,
        )

    def _service_request(self) -> ServiceRequest:
        call = self._call
        return ServiceRequest(
            call.options.request_id,
            call.options.organisation,
            call.name,
            call.options.idempotency_key,
            call.body,
            call.content_type,
        )

    def _failure(self, refusal: Refusal) -> Failure:
        if self._may_have_run:
            return failures.unknown_outcome_failure(refusal)
        return failures.not_run_failure(refusal)


def _plain_answer(answer: ServiceAnswer, upstream: str) -> PlainAnswer:
    return PlainAnswer(
        answer.status, answer.body, answer.content_type, upstream
    )


def _outcome_of(answer: ServiceAnswer | ServiceError) -> Outcome:
    if isinstance(answer, ServiceAnswer):
        return Outcome.DONE
    if isinstance(answer, ServiceUnreachable):
        return Outcome.UNREACHABLE
    if isinstance(answer, ServiceOverloaded):
        return Outcome.REFUSED
    return Outcome.CUT


def _retry_after(error: ServiceError) -> timedelta | None:
    return error.retry_after if isinstance(error, ServiceOverloaded) else None
