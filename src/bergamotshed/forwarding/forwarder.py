"""
bergamotshed.forwarding.forwarder
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Takes a routed request to an upstream and its answer back.
"""

__all__ = ('Forwarded', 'Forwarder')

import asyncio
import random
from dataclasses import replace
from datetime import timedelta

from ..reasons import Reason, Refusal
from ..routing.affinity import PlacedUpstream
from .attempts import Attempts, ForwardingDependencies
from .choice import UpstreamChoice
from .gate import AdmittedRequest
from .outcome import AttemptOutcome, AttemptResult
from .types import (
    AnswerSink,
    RoutedRequest,
    StreamedAnswer,
    Undelivered,
    UpstreamAnswer,
)

#: When to come back after an upstream refused for want of room, before
#: jitter: a few times the work of a plain call, so that there is room again.
FULL_RETRY = timedelta(milliseconds=300)
JITTER_LOW = 0.5
JITTER_HIGH = 1.5

Forwarded = UpstreamAnswer | StreamedAnswer | Refusal | Undelivered

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
        self._choice = UpstreamChoice(shared)

    async def forward(
        self, request: RoutedRequest, sink: AnswerSink
    ) -> Forwarded:
        """Return the answer, or why there is none."""
        admitted = await self._shared.gate.admit_confirmed(request)
        if isinstance(admitted, Refusal):
            return admitted
        self._shared.retries.record_request(admitted.service)
        attempts = Attempts(self._shared, request, admitted, sink)
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
        attempts: Attempts,
    ) -> Forwarded:
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
            if attempted.ending is AttemptOutcome.ANSWERED and attempted.result:
                return attempted.result
            if not attempts.may_go_on(attempted):
                return _last_result(attempts, attempted)

    async def _attempt(
        self,
        request: RoutedRequest,
        admitted: AdmittedRequest,
        attempts: Attempts,
        placed: PlacedUpstream,
    ) -> AttemptResult | Refusal:
        """Make one attempt, if the caller may still make requests."""
        organisation = self._shared.gate.find_organisation(
            request, admitted.route
        )
        if isinstance(organisation, Refusal):
            return organisation
        return await attempts.make(
            placed, replace(admitted, organisation=organisation)
        )


def _last_result(attempts: Attempts, attempted: AttemptResult) -> Forwarded:
    if attempted.result is not None and not attempts.passage.begun:
        return attempted.result
    reason = _GIVEN_UP.get(attempted.ending, Reason.ENGINE_BROKEN)
    refused = Refusal(reason, _jittered(FULL_RETRY), attempted.detail)
    return _given_up(attempts, refused)


def _given_up(attempts: Attempts, refused: Refusal) -> Forwarded:
    """Return the final answer of a request that is not tried again."""
    if attempts.passage.begun:
        attempts.passage.abort()
        return StreamedAnswer(is_complete=False)
    if attempts.failure is not None:
        return attempts.failure
    if attempts.in_doubt:
        return Undelivered(refused.reason, refused.detail)
    return refused


def _timed_out(attempts: Attempts) -> Forwarded:
    if attempts.passage.begun:
        attempts.passage.abort()
        return StreamedAnswer(is_complete=False)
    if attempts.in_doubt:
        return Undelivered(
            Reason.ENGINE_SILENT, 'no answer in time', timed_out=True
        )
    retry_after = _jittered(FULL_RETRY)
    return Refusal(Reason.DEADLINE, retry_after, 'nothing was sent in time')


def _jittered(pause: timedelta) -> timedelta:
    """Spread the callers that were refused at once."""
    return pause * random.uniform(JITTER_LOW, JITTER_HIGH)
