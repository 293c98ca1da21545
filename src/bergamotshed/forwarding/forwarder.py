"""
bergamotshed.forwarding.forwarder
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Takes a routed request to an upstream and its answer back.
"""

__all__ = ('Forwarder', 'ForwardingResult')

import asyncio
import random
from dataclasses import replace
from datetime import timedelta

from ..reasons import Reason, Refusal
from ..routing.affinity import PlacedUpstream
from .attempts import ForwardingDependencies, RequestAttempts
from .outcome import AttemptOutcome, AttemptResult
from .request_admission import AdmittedRequest
from .types import (
    AnswerSink,
    RoutedRequest,
    StreamedAnswer,
    UnknownOutcome,
    UpstreamAnswer,
)
from .upstream_selection import UpstreamSelector

#: When to come back after an upstream refused for want of room, before
#: jitter: a few times the work of a plain call, so that there is room again.
FULL_RETRY = timedelta(milliseconds=300)
JITTER_LOW = 0.5
JITTER_HIGH = 1.5

ForwardingResult = UpstreamAnswer | StreamedAnswer | Refusal | UnknownOutcome

_GIVEN_UP = {
    AttemptOutcome.NOT_SENT: Reason.ENGINE_UNREACHED,
    AttemptOutcome.NOT_RUN: Reason.ENGINE_REFUSED,
    AttemptOutcome.MISDIRECTED: Reason.NO_ENGINE,
    AttemptOutcome.BROKEN: Reason.ENGINE_BROKEN,
    AttemptOutcome.SILENT: Reason.ENGINE_SILENT,
}


class Forwarder:
    """Forwards requests by the configuration in force."""

    def __init__(self, shared: ForwardingDependencies) -> None:
        self._shared = shared
        self._choice = UpstreamSelector(shared)

    async def forward(
        self, request: RoutedRequest, sink: AnswerSink
    ) -> ForwardingResult:
        """Return the answer, or why there is none."""
        admitted = await self._shared.admission.admit_confirmed(request)
        if isinstance(admitted, Refusal):
            return admitted
        self._shared.retries.note_request(admitted.service)
        attempts = RequestAttempts(self._shared, request, admitted, sink)
        left = admitted.deadline - self._shared.clock.monotonic()
        try:
            async with asyncio.timeout(left):
                return await self._try_upstreams(request, admitted, attempts)
        except TimeoutError:
            return _timed_out(attempts)

    async def _try_upstreams(
        self,
        request: RoutedRequest,
        admitted: AdmittedRequest,
        attempts: RequestAttempts,
    ) -> ForwardingResult:
        while True:
            placed = await self._choice.choose(attempts)
            if isinstance(placed, Refusal):
                return _given_up(attempts, placed)
            attempted: AttemptResult | Refusal | None = None
            try:
                attempted = await self._attempt(
                    request, admitted, attempts, placed
                )
            finally:
                self._choice.end(placed, attempted)
            if isinstance(attempted, Refusal):
                return _given_up(attempts, attempted)
            if (
                attempted.outcome is AttemptOutcome.ANSWERED
                and attempted.answer
            ):
                return attempted.answer
            if not attempts.can_retry(attempted):
                return _last_result(attempts, attempted)

    async def _attempt(
        self,
        request: RoutedRequest,
        admitted: AdmittedRequest,
        attempts: RequestAttempts,
        placed: PlacedUpstream,
    ) -> AttemptResult | Refusal:
        """Make one attempt, if the caller may still make requests."""
        organisation = self._shared.admission.find_organisation(
            request, admitted.route
        )
        if isinstance(organisation, Refusal):
            return organisation
        return await attempts.make(
            placed, replace(admitted, organisation=organisation)
        )


def _last_result(
    attempts: RequestAttempts, attempted: AttemptResult
) -> ForwardingResult:
    if attempted.answer is not None and not attempts.relay.begun:
        return attempted.answer
    reason = _GIVEN_UP.get(attempted.outcome, Reason.ENGINE_BROKEN)
    refused = Refusal(reason, _jittered(FULL_RETRY), attempted.detail)
    return _given_up(attempts, refused)


def _given_up(attempts: RequestAttempts, refused: Refusal) -> ForwardingResult:
    """Return the final answer of a request that is not tried again."""
    if attempts.relay.begun:
        attempts.relay.abort()
        return StreamedAnswer(is_complete=False)
    if attempts.failure is not None:
        return attempts.failure
    if attempts.may_have_run:
        return UnknownOutcome(refused.reason, refused.detail)
    return refused


def _timed_out(attempts: RequestAttempts) -> ForwardingResult:
    if attempts.relay.begun:
        attempts.relay.abort()
        return StreamedAnswer(is_complete=False)
    if attempts.may_have_run:
        return UnknownOutcome(
            Reason.ENGINE_SILENT, 'no answer in time', has_timed_out=True
        )
    retry_after = _jittered(FULL_RETRY)
    return Refusal(Reason.DEADLINE, retry_after, 'nothing was sent in time')


def _jittered(pause: timedelta) -> timedelta:
    """Spread the callers that were refused at once."""
    return pause * random.uniform(JITTER_LOW, JITTER_HIGH)
