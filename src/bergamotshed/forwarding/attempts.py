"""
bergamotshed.forwarding.attempts
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Sends one request to upstreams, one attempt after another, and decides
whether a failed attempt is retried.
"""

__all__ = ('RequestAttempts',)

import asyncio
from datetime import timedelta

from eliot import log_message

from ..routes.types import Repeatability
from ..routing.affinity import PlacedUpstream, PlacementQuery
from ..routing.stream_origins import StreamOrigin
from ..routing.types import (
    PlacementRequest,
)
from ..routing.upstream_loads import ExchangeOutcome
from ..upstreams.types import Instance, ReportedLoad
from .answer_observer import AnswerObserver, StatedLimits
from .crash_watch import CrashWatch
from .dependencies import ForwardingDependencies
from .exchange import Exchange
from .outcome import AttemptOutcome, AttemptResult, can_retry
from .request_admission import AdmittedRequest
from .types import AnswerSink, RequestMetadata, RoutedRequest, UpstreamAnswer

#: Timeout for an answer's head, as a multiple of the target latency and with
#: a minimum. It applies only where the request can be sent to another
#: upstream.
PATIENCE_FACTOR = 2.5
MIN_PATIENCE = timedelta(milliseconds=800)
#: Part of the target latency for which a request may wait for a slot; the
#: rest is left for running it.
SLOT_WAIT_SHARE = 0.6
#: Number of attempts that did not reach an upstream after which the request
#: fails.
MAX_UNREACHED = 4
#: An upstream that has not answered for this long when the caller
#: disconnects counts as silent.
SUSPICIOUS_SILENCE = timedelta(milliseconds=1500)

_EXCHANGE_OUTCOMES = {
    AttemptOutcome.ANSWERED: ExchangeOutcome.ANSWERED,
    AttemptOutcome.FAILED: ExchangeOutcome.ANSWERED,
    AttemptOutcome.NOT_RUN: ExchangeOutcome.FULL,
    AttemptOutcome.NOT_SENT: ExchangeOutcome.UNREACHED,
    AttemptOutcome.MISDIRECTED: ExchangeOutcome.ABANDONED,
    AttemptOutcome.BROKEN: ExchangeOutcome.BROKEN,
    AttemptOutcome.SILENT: ExchangeOutcome.SILENT,
}


class RequestAttempts:
    """Makes the attempts of one request and records their results.

    :param begun: origin of the stream that the request resumes, if any

    :ivar relay: passes the answer on and records what the caller received
    :ivar watch: examines answers that break off for crashes
    :ivar failure: the last upstream's answer, if that was a failure; the caller
        gets it if no further attempt succeeds
    """

    def __init__(
        self,
        dependencies: ForwardingDependencies,
        request: RoutedRequest,
        admitted: AdmittedRequest,
        sink: AnswerSink,
        begun: StreamOrigin | None = None,
    ) -> None:
        self.failure: UpstreamAnswer | None = None
        self.watch = CrashWatch(
            dependencies.crashes, request, dependencies.clock
        )
        self._observer = AnswerObserver(
            request,
            dependencies.loads,
            dependencies.prompts,
            StatedLimits(
                dependencies.rates, dependencies.slots, dependencies.registry
            ),
            self.watch,
            dependencies.origins if _is_resumable(admitted) else None,
            begun,
        )
        self._dependencies = dependencies
        self._request = request
        self._admitted = admitted
        self._exchange = Exchange(
            request,
            sink,
            dependencies.dialect,
            dependencies.pool,
            self._observer,
            repeatable=not self._is_run_once,
        )
        self.relay = self._exchange.relay
        self._tried: set[str] = set()
        self._attempt_count = 0
        self._unreached_count = 0

    @property
    def may_have_run(self) -> bool:
        """Return whether the request may have run."""
        return self._exchange.may_have_run

    @property
    def is_untouched(self) -> bool:
        """Return whether no attempt has reached an upstream."""
        return not self.may_have_run and self._attempt_count == 0

    @property
    def query(self) -> PlacementQuery:
        """Return the query that chooses the next upstream."""
        origin = self._observer.origin
        return PlacementQuery(
            self._admitted.service,
            self._request.model,
            self._request.shared_parts,
            frozenset(self._tried),
            self._dependencies.rates.barred(
                self._dependencies.registry.members(self._admitted.service)
            ),
            None if origin is None else origin.version,
        )

    @property
    def patience_for_slot(self) -> timedelta:
        """Return how long the request may wait before it is sent."""
        return self._admitted.route.target_latency * SLOT_WAIT_SHARE

    @property
    def time_remaining(self) -> timedelta:
        """Return the time until the request's deadline."""
        remaining_s = (
            self._admitted.deadline - self._dependencies.clock.monotonic()
        )
        return timedelta(seconds=max(0, remaining_s))

    def slot_request(
        self, unusable: frozenset[str], preferred: str
    ) -> PlacementRequest:
        """Return the request for a slot, to the home of the service.

        :param unusable: names of the upstreams that must not be chosen
        :param preferred: name of the upstream to choose if it has room
        """
        admitted = self._admitted
        organisation = admitted.organisation
        return PlacementRequest(
            self._request.attempt_id,
            admitted.service,
            '' if organisation is None else organisation.name,
            chat=0,
            priority=admitted.priority,
            deadline=self.time_remaining,
            excluded=unusable,
            preferred=preferred,
            patience=self.patience_for_slot,
        )

    async def make_attempt(
        self, placed: PlacedUpstream, admitted: AdmittedRequest
    ) -> AttemptResult:
        """Send the request to a chosen upstream.

        :param admitted: the request with the organisation as in the current
            configuration
        """
        dependencies = self._dependencies
        instance = placed.instance
        started_at = dependencies.clock.monotonic()
        self._observer.start(started_at)
        self._tried.add(instance.name)
        dependencies.loads.record_start(instance)
        exchange_outcome = ExchangeOutcome.ABANDONED
        try:
            result = await self._exchange.run(
                instance,
                self._request_metadata(placed, admitted),
                patience=self._patience(),
            )
            exchange_outcome = _EXCHANGE_OUTCOMES[result.outcome]
        except asyncio.CancelledError:
            duration_s = dependencies.clock.monotonic() - started_at
            exchange_outcome = _classify_abandoned(self._exchange, duration_s)
            detail = (
                'answer incomplete'
                if self.relay.is_started
                else 'no answer yet'
            )
            self._log_attempt(
                placed,
                AttemptResult(AttemptOutcome.ABANDONED, detail),
                duration_s,
            )
            raise
        finally:
            dependencies.loads.record_end(instance, exchange_outcome)
        self._record_result(instance, result, started_at)
        self._log_attempt(
            placed, result, dependencies.clock.monotonic() - started_at
        )
        return result

    def can_retry(self, result: AttemptResult) -> bool:
        """Return whether the request may be sent to another upstream.

        Spends from the retry budget, unless the upstream was not reached.
        """
        route = self._admitted.route
        last_id = self.relay.splitter.last_id
        if not can_retry(result, route.repeatability, last_id):
            return False
        if result.outcome is AttemptOutcome.NOT_SENT:
            return self._unreached_count < MAX_UNREACHED
        if self._attempt_count >= route.max_attempts:
            return False
        return self._dependencies.retries.spend(self._admitted.service)

    @property
    def _is_run_once(self) -> bool:
        return self._admitted.route.repeatability is Repeatability.ONCE

    def _request_metadata(
        self, placed: PlacedUpstream, admitted: AdmittedRequest
    ) -> RequestMetadata:
        organisation = admitted.organisation
        return RequestMetadata(
            instance_name=placed.instance.name,
            organisation='' if organisation is None else organisation.name,
            priority=admitted.priority,
            time_remaining=self.time_remaining,
            cache_source='' if placed.source is None else placed.source.address,
        )

    def _patience(self) -> timedelta | None:
        """Return the timeout of the head; ``None`` if no retry is possible."""
        route = self._admitted.route
        if self._is_run_once or self._attempt_count + 1 >= route.max_attempts:
            return None
        return max(MIN_PATIENCE, PATIENCE_FACTOR * route.target_latency)

    def _record_result(
        self, instance: Instance, result: AttemptResult, started_at: float
    ) -> None:
        """Record what the result says of the upstream and the request."""
        self._count_attempt(result)
        dependencies = self._dependencies
        if isinstance(result.answer, UpstreamAnswer):
            self.failure = result.answer
        if result.outcome is AttemptOutcome.ANSWERED:
            self.watch.record_answer(is_success=result.is_success)
        elif result.outcome is AttemptOutcome.BROKEN:
            self.watch.record_cut(instance, started_at)
        elif result.outcome is AttemptOutcome.MISDIRECTED:
            dependencies.registry.mark_misdirected(instance)

    def _count_attempt(self, result: AttemptResult) -> None:
        if result.outcome is AttemptOutcome.NOT_SENT:
            self._unreached_count += 1
        elif result.outcome is not AttemptOutcome.MISDIRECTED:
            self._attempt_count += 1

    def _log_attempt(
        self, placed: PlacedUpstream, result: AttemptResult, duration_s: float
    ) -> None:
        metadata = self._exchange.answer_metadata
        splitter = self.relay.splitter
        log_message(
            'request.attempt',
            request=self._request.attempt_id,
            route=self._admitted.route.name,
            upstream=placed.instance.name,
            sequence=placed.instance.sequence,
            upstream_version=placed.instance.version,
            resumed_attempt=self._request.resumed_attempt,
            resumed_after=self._request.last_event_id,
            first_choice=placed.first_choice,
            load=placed.load,
            mean_load=_rounded(placed.mean_load),
            upstream_load=None if metadata is None else _total(metadata.load),
            prompt_known=not placed.is_unread,
            cache_source='' if placed.source is None else placed.source.name,
            slot=None if placed.slot is None else placed.slot.grant,
            granted_at=None if placed.grant is None else placed.grant.in_flight,
            configuration_age=round(
                self._dependencies.admission.configuration_age, 3
            ),
            ending=result.outcome.value,
            detail=result.detail,
            upstream_max_rate=None if metadata is None else metadata.max_rate,
            upstream_tolerance=None if metadata is None else metadata.tolerance,
            body_end='' if metadata is None else metadata.delimitation.value,
            last_event=splitter.last_id,
            open_event_bytes=len(splitter.rest),
            prompt_parts=_logged_parts(self._request, result),
            ms=round(duration_s * 1000),
        )


def _classify_abandoned(
    exchange: Exchange, duration_s: float
) -> ExchangeOutcome:
    is_silent = exchange.answer_metadata is None and exchange.may_have_run
    if is_silent and duration_s > SUSPICIOUS_SILENCE.total_seconds():
        return ExchangeOutcome.SILENT
    return ExchangeOutcome.ABANDONED


def _is_resumable(admitted: AdmittedRequest) -> bool:
    return admitted.route.repeatability is Repeatability.RESUMABLE


def _rounded(load: float | None) -> float | None:
    return None if load is None else round(load, 1)


def _total(load: ReportedLoad | None) -> int | None:
    return None if load is None else load.running + load.waiting


def _logged_parts(request: RoutedRequest, result: AttemptResult) -> list[str]:
    """Return the parts of the prompt if the upstream may have crashed."""
    if result.outcome is not AttemptOutcome.BROKEN:
        return []
    return [part.name for part in request.prompt_parts]
