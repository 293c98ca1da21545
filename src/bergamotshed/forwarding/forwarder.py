"""
bergamotshed.forwarding.forwarder
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Forwards a routed request to an upstream and returns its answer.
"""

__all__ = ('Forwarder', 'ForwardingResult')

import random
from dataclasses import replace
from datetime import timedelta

from ..reasons import Reason, Refusal
from ..routing.affinity import PlacedUpstream
from ..routing.stream_origins import StreamOrigin
from .attempts import RequestAttempts
from .dependencies import ForwardingDependencies
from .outcome import AttemptOutcome, AttemptResult
from .request_admission import OTHER_ROUTER_RETRY_AFTER, AdmittedRequest
from .stream_resumption import StreamResumption, admitted_at_origin
from .types import (
    AnswerSink,
    RoutedRequest,
    StreamedAnswer,
    UnknownOutcome,
    UpstreamAnswer,
)
from .upstream_selection import UpstreamSelector

#: Retry-After where no upstream could take the request, before jitter: a few
#: times the duration of a plain call, so that slots are free again.
FULL_RETRY_AFTER = timedelta(milliseconds=300)
#: Retry-After where neither this router nor a peer reaches an upstream, before
#: jitter: the time in which routers notice that a way is back.
LOST_RETRY_AFTER = timedelta(milliseconds=500)
MIN_JITTER_FACTOR = 0.5
MAX_JITTER_FACTOR = 1.5

ForwardingResult = UpstreamAnswer | StreamedAnswer | Refusal | UnknownOutcome

_GIVE_UP_REASONS = {
    AttemptOutcome.NOT_SENT: Reason.ENGINE_UNREACHED,
    AttemptOutcome.NOT_RUN: Reason.ENGINE_REFUSED,
    AttemptOutcome.MISDIRECTED: Reason.NO_ENGINE,
    AttemptOutcome.BROKEN: Reason.ENGINE_BROKEN,
    AttemptOutcome.SILENT: Reason.ENGINE_SILENT,
}


class Forwarder:
    """Forwards requests as the current configuration says."""

    def __init__(self, dependencies: ForwardingDependencies) -> None:
        self._dependencies = dependencies
        self._selector = UpstreamSelector(dependencies)
        self._resumption = StreamResumption(
            dependencies.origins,
            dependencies.registry.versions,
            dependencies.confirm_upstreams,
            dependencies.clock,
        )

    async def forward(
        self, request: RoutedRequest, sink: AnswerSink
    ) -> ForwardingResult:
        """Return the answer, or why there is none.

        :param sink: receives an answer that is passed on in pieces
        """
        admitted = await self._admit(request)
        if isinstance(admitted, Refusal):
            return admitted
        result = await self._run_here(request, admitted, sink)
        if result is None:
            result = await self._dependencies.peers.forward(
                request, admitted.service, admitted.deadline, sink
            )
        return result or _lost_refusal(admitted)

    async def forward_for_peer(
        self, request: RoutedRequest, sink: AnswerSink
    ) -> ForwardingResult:
        """Forward a request of a router that reaches no upstream.

        It is not passed on to a further router.
        """
        admitted = await self._admit(request)
        if isinstance(admitted, Refusal):
            return admitted
        result = await self._run_here(request, admitted, sink)
        return result or _lost_refusal(admitted)

    async def _admit(self, request: RoutedRequest) -> AdmittedRequest | Refusal:
        admission = self._dependencies.admission
        try:
            async with self._dependencies.timeouts.limit(None):
                return await admission.admit_confirmed(request)
        except TimeoutError:
            return _stopping_refusal()

    async def _run_here(
        self,
        request: RoutedRequest,
        admitted: AdmittedRequest,
        sink: AnswerSink,
    ) -> ForwardingResult | None:
        """Return the result of this router's own attempts.

        :return: ``None`` if it did not run as this router reaches no upstream
        """
        if self._is_lost(admitted.service):
            return None
        origin = await self._find_origin(request, admitted)
        if isinstance(origin, Refusal):
            return origin
        admitted = admitted_at_origin(admitted, origin)
        self._dependencies.retries.record_request(admitted.service)
        attempts = RequestAttempts(
            self._dependencies, request, admitted, sink, origin
        )
        remaining_s = admitted.deadline - self._dependencies.clock.monotonic()
        try:
            async with self._dependencies.timeouts.limit(remaining_s):
                return await self._try_upstreams(request, admitted, attempts)
        except TimeoutError:
            return _timeout_result(
                attempts, is_stopping=self._dependencies.timeouts.have_expired
            )

    async def _find_origin(
        self, request: RoutedRequest, admitted: AdmittedRequest
    ) -> StreamOrigin | Refusal | None:
        try:
            async with self._dependencies.timeouts.limit(None):
                return await self._resumption.find_origin(request, admitted)
        except TimeoutError:
            return _stopping_refusal()

    async def _try_upstreams(
        self,
        request: RoutedRequest,
        admitted: AdmittedRequest,
        attempts: RequestAttempts,
    ) -> ForwardingResult | None:
        while True:
            result = await self._attempt_once(request, admitted, attempts)
            if isinstance(result, Refusal):
                return _give_up(attempts, result)
            if result.outcome is AttemptOutcome.ANSWERED and result.answer:
                return result.answer
            if attempts.is_untouched and self._is_lost(admitted.service):
                return None
            if not attempts.can_retry(result):
                return _last_result(attempts, result)

    async def _attempt_once(
        self,
        request: RoutedRequest,
        admitted: AdmittedRequest,
        attempts: RequestAttempts,
    ) -> AttemptResult | Refusal:
        """Choose an upstream and make an attempt there."""
        placed = await self._selector.choose(attempts)
        if isinstance(placed, Refusal):
            return placed
        result: AttemptResult | Refusal | None = None
        try:
            result = await self._make_attempt(
                request, admitted, attempts, placed
            )
        finally:
            self._selector.release(placed, result)
        return result

    def _is_lost(self, service: str) -> bool:
        """Return whether this router has no way to a service's upstreams."""
        dependencies = self._dependencies
        members = dependencies.registry.members(service)
        return dependencies.pool.reach.is_lost(members)

    async def _make_attempt(
        self,
        request: RoutedRequest,
        admitted: AdmittedRequest,
        attempts: RequestAttempts,
        placed: PlacedUpstream,
    ) -> AttemptResult | Refusal:
        """Make one attempt, unless the API key was revoked in the meantime."""
        organisation = self._dependencies.admission.find_organisation(
            request, admitted.route
        )
        if isinstance(organisation, Refusal):
            return organisation
        return await attempts.make_attempt(
            placed, replace(admitted, organisation=organisation)
        )


def _last_result(
    attempts: RequestAttempts, result: AttemptResult
) -> ForwardingResult:
    if result.answer is not None and not attempts.relay.is_started:
        return result.answer
    reason = _GIVE_UP_REASONS.get(result.outcome, Reason.ENGINE_BROKEN)
    refusal = Refusal(reason, _jittered(FULL_RETRY_AFTER), result.detail)
    return _give_up(attempts, refusal)


def _give_up(attempts: RequestAttempts, refusal: Refusal) -> ForwardingResult:
    """Return the final result of a request that is not retried.

    A request that may have run gets no refusal: a refusal means that
    it did not run.
    """
    if attempts.relay.is_started:
        attempts.relay.abort()
        return StreamedAnswer(is_complete=False)
    if attempts.failure is not None:
        return attempts.failure
    if attempts.may_have_run:
        return UnknownOutcome(refusal.reason, refusal.detail)
    return refusal


def _lost_refusal(admitted: AdmittedRequest) -> Refusal:
    return Refusal(
        Reason.UPSTREAMS_LOST,
        _jittered(LOST_RETRY_AFTER),
        f'no upstream of {admitted.service} can be reached',
    )


def _stopping_refusal() -> Refusal:
    return Refusal(
        Reason.STOPPING, OTHER_ROUTER_RETRY_AFTER, 'the router stops'
    )


def _timeout_result(
    attempts: RequestAttempts, *, is_stopping: bool
) -> ForwardingResult:
    """Return the result of a request whose time is over.

    :param is_stopping: because the router stops
    """
    if attempts.relay.is_started:
        attempts.relay.abort()
        return StreamedAnswer(is_complete=False)
    if attempts.may_have_run:
        return UnknownOutcome(
            Reason.STOPPING if is_stopping else Reason.ENGINE_SILENT,
            'no answer in time',
            has_timed_out=True,
        )
    if is_stopping:
        return _stopping_refusal()
    retry_after = _jittered(FULL_RETRY_AFTER)
    return Refusal(Reason.DEADLINE, retry_after, 'nothing was sent in time')


def _jittered(retry_after: timedelta) -> timedelta:
    """Add jitter, so that callers refused together don't retry together."""
    return retry_after * random.uniform(MIN_JITTER_FACTOR, MAX_JITTER_FACTOR)
