"""
bergamotshed.dispatch.plain_run
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One plain call from its placement to its answer, over as many attempts as it
takes.
"""

__all__ = ('PlainCallDependencies', 'PlainRun')

from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from ..fleet import Service
from ..reasons import Reason, Refusal
from ..routing.retry import NextStep, RetryBudget, next_step
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
    """What every run works with."""

    placer: Placer
    services: ServiceClient
    budget: RetryBudget
    clock: Clock


class PlainRun:
    """Runs one plain call."""

    def __init__(
        self, call: PlainCall, service: Service, using: PlainCallDependencies
    ) -> None:
        self._call = call
        self._service = service
        self._using = using
        self._trace = RequestTrace('plain', call.options, service.name)
        self._deadline = Deadline(using.clock, call.options.deadline)
        self._attempts = 0
        self._excluded: frozenset[str] = frozenset()
        self._may_have_run = False

    @property
    def may_have_run(self) -> bool:
        """Tell whether any byte of the call may have reached an upstream."""
        return self._may_have_run

    @property
    def deadline(self) -> Deadline:
        """Return the time that is left to the call."""
        return self._deadline

    async def answer(self) -> PlainAnswer | Failure:
        """Run the call to its final answer."""
        self._using.budget.earn(self._service.name)
        try:
            return await self._run()
        finally:
            self._deadline.close()
            self._trace.left()

    async def _run(self) -> PlainAnswer | Failure:
        ending: PlainAnswer | Failure | None = None
        while ending is None:
            asked = self._asked()
            placement = await self._place(asked)
            if isinstance(placement, Refusal):
                ending = self._refusal(placement)
            else:
                ending = await self._attempt(asked, placement)
        if isinstance(ending, Failure):
            self._trace.gave_up(ending)
        else:
            self._trace.answered()
        return ending

    async def _place(self, asked: PlacementRequest) -> Placement | Refusal:
        if self._deadline.has_passed:
            return Refusal(Reason.DEADLINE)
        return await self._using.placer.place(asked)

    async def _attempt(
        self, asked: PlacementRequest, placement: Placement
    ) -> PlainAnswer | Failure | None:
        """Make one try; ``None`` if another may follow."""
        self._attempts += 1
        upstream = placement.upstream
        outcome = Outcome.CANCELLED
        self._trace.began(self._attempts, upstream.name, placement.home)
        try:
            answer = await self._call_upstream(upstream.address)
            outcome = _outcome(answer)
        finally:
            self._using.placer.release(asked, placement, outcome)
            self._trace.ended(self._attempts, upstream.name, outcome)
        if isinstance(answer, ServiceAnswer):
            return _told(answer, upstream.name)
        self._excluded |= {upstream.name}
        refused = self._refused_after(outcome, _advice(answer))
        return None if refused is None else self._refusal(refused)

    async def _call_upstream(
        self, address: str
    ) -> ServiceAnswer | ServiceError:
        try:
            return await self._using.services.call(
                address, self._request(), self._deadline.remaining
            )
        except ServiceError as error:
            return error

    def _refused_after(
        self, outcome: Outcome, advice: timedelta | None
    ) -> Refusal | None:
        """Decide whether no other attempt may follow, and why."""
        if outcome is Outcome.CUT:
            self._may_have_run = True
        if self._deadline.has_passed:
            return Refusal(Reason.DEADLINE)
        step = next_step(outcome, at_most_once=self._call.options.at_most_once)
        if step is NextStep.GIVE_UP:
            return Refusal(Reason.ENGINE_CUT)
        if self._attempts >= MAX_ATTEMPTS:
            return Refusal(Reason.ENGINE_REFUSED, advice)
        if not self._using.budget.spend(self._service.name):
            return Refusal(Reason.RETRY_BUDGET, advice)
        return None

    def _asked(self) -> PlacementRequest:
        options = self._call.options
        return PlacementRequest(
            request=options.request,
            service=self._service.name,
            organisation=options.organisation,
            chat=chat_hash(options.organisation, options.request),
            priority=options.priority,
            deadline=self._deadline.remaining,
            excluded=self._excluded,
        )

    def _request(self) -> ServiceRequest:
        call = self._call
        return ServiceRequest(
            call.options.request,
            call.options.organisation,
            call.call,
            call.options.key,
            call.body,
            call.content_type,
        )

    def _refusal(self, refused: Refusal) -> Failure:
        if self._may_have_run:
            return failures.unknown(refused)
        return failures.not_run(refused)


def _told(answer: ServiceAnswer, upstream: str) -> PlainAnswer:
    return PlainAnswer(
        answer.status, answer.body, answer.content_type, upstream
    )


def _outcome(answer: ServiceAnswer | ServiceError) -> Outcome:
    if isinstance(answer, ServiceAnswer):
        return Outcome.DONE
    if isinstance(answer, ServiceUnreachable):
        return Outcome.UNREACHABLE
    if isinstance(answer, ServiceOverloaded):
        return Outcome.REFUSED
    return Outcome.CUT


def _advice(error: ServiceError) -> timedelta | None:
    return error.retry_after if isinstance(error, ServiceOverloaded) else None
