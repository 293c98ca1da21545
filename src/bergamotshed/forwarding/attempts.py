"""
bergamotshed.forwarding.attempts
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Makes the attempts of one request, each at another upstream, and decides
whether one more may follow.
"""

__all__ = ('Attempts', 'ForwardingDependencies')

import asyncio
from dataclasses import dataclass
from datetime import timedelta

from eliot import log_message

from ..clock import Clock
from ..routes.types import Repeatability
from ..routing.affinity import AffinityPlacer, PlacedUpstream, PlacementQuery
from ..routing.prompt_readers import SharedPromptReaders
from ..routing.retryshare import FleetRetryBudget
from ..routing.types import PlacementRequest, SharedSlots
from ..routing.upstream_loads import ExchangeOutcome, UpstreamLoads
from ..upstreams.pool import ConnectionPool
from ..upstreams.registry import UpstreamRegistry
from ..upstreams.types import Instance, ReportedLoad
from .crashwatch import CrashDetector, fingerprint_of
from .dialect import Dialect
from .exchange import AnswerPassage, Exchange, ExchangeObserver
from .gate import AdmittedRequest, EntryGate
from .outcome import AttemptOutcome, AttemptResult, may_try_again
from .types import AnswerSink, RequestMetadata, RoutedRequest, UpstreamAnswer

#: A silent upstream is given up after this multiple of the target latency,
#: where the request may be sent to another one, and after no less than the
#: minimum.
PATIENCE_FACTOR = 2.5
PATIENCE_MIN = timedelta(milliseconds=800)
#: Part of the target latency for which a request may wait for a slot; the
#: rest is for the work itself.
SLOT_WAIT_SHARE = 0.6
#: Upstreams that a request may fail to reach before it is given up.
MAX_UNREACHED = 4
#: Silence after which a caller that leaves tells something of the upstream.
SUSPICIOUS_SILENCE = timedelta(milliseconds=1500)

_ENDS = {
    AttemptOutcome.ANSWERED: ExchangeOutcome.ANSWERED,
    AttemptOutcome.FAILED: ExchangeOutcome.ANSWERED,
    AttemptOutcome.NOT_RUN: ExchangeOutcome.FULL,
    AttemptOutcome.NOT_SENT: ExchangeOutcome.UNREACHED,
    AttemptOutcome.MISDIRECTED: ExchangeOutcome.ABANDONED,
    AttemptOutcome.BROKEN: ExchangeOutcome.BROKEN,
    AttemptOutcome.SILENT: ExchangeOutcome.SILENT,
}


@dataclass(frozen=True, slots=True)
class ForwardingDependencies:
    """What all requests share."""

    gate: EntryGate
    crashes: CrashDetector
    registry: UpstreamRegistry
    placer: AffinityPlacer
    loads: UpstreamLoads
    prompts: SharedPromptReaders
    slots: SharedSlots
    retries: FleetRetryBudget
    pool: ConnectionPool
    dialect: Dialect
    clock: Clock


class Attempts(ExchangeObserver):
    """The attempts of one request.

    :ivar passage: what the caller has received
    :ivar fingerprint: equal for repeats of the request
    :ivar failure: the last upstream's own answer, if that was a failure
    """

    def __init__(
        self,
        shared: ForwardingDependencies,
        request: RoutedRequest,
        admitted: AdmittedRequest,
        sink: AnswerSink,
    ) -> None:
        after = request.after_event or ''
        self.passage = AnswerPassage(
            sink, int(after) if after.isdecimal() else None
        )
        self.failure: UpstreamAnswer | None = None
        self.fingerprint = fingerprint_of(request)
        self._shared = shared
        self._request = request
        self._admitted = admitted
        self._exchange = Exchange(
            request,
            self.passage,
            shared.dialect,
            shared.pool,
            self,
        )
        self._tried: set[str] = set()
        self._made = 0
        self._unreached = 0

    @property
    def in_doubt(self) -> bool:
        """Return whether the request may have run."""
        return self._exchange.in_doubt

    @property
    def query(self) -> PlacementQuery:
        """Return what the next upstream is chosen by."""
        return PlacementQuery(
            self._admitted.service,
            self._request.model,
            self._request.shared_parts,
            frozenset(self._tried),
        )

    def slot_request(self, unusable: frozenset[str]) -> PlacementRequest:
        """Return what the home of the service is asked.

        :param unusable: names of the upstreams that must not be chosen
        """
        admitted = self._admitted
        organisation = admitted.organisation
        left = admitted.deadline - self._shared.clock.monotonic()
        return PlacementRequest(
            self._request.attempt,
            admitted.service,
            '' if organisation is None else organisation.name,
            chat=0,
            priority=admitted.priority,
            deadline=timedelta(seconds=max(0, left)),
            excluded=unusable,
            patience=admitted.route.target_latency * SLOT_WAIT_SHARE,
        )

    async def make(
        self, placed: PlacedUpstream, admitted: AdmittedRequest
    ) -> AttemptResult:
        """Make one attempt at a chosen upstream.

        :param admitted: what the configuration says at this moment
        """
        shared = self._shared
        instance = placed.instance
        began = shared.clock.monotonic()
        self._tried.add(instance.name)
        shared.loads.begin(instance)
        end = ExchangeOutcome.ABANDONED
        try:
            attempted = await self._exchange.run(
                instance,
                self._handover(placed, admitted),
                repeatable=not self._runs_once,
                patience=self._patience(),
            )
            end = _ENDS[attempted.ending]
        except asyncio.CancelledError:
            took = shared.clock.monotonic() - began
            end = self._end_of_abandoned(took)
            detail = 'events came' if self.passage.begun else 'no answer yet'
            self._log(
                placed, AttemptResult(AttemptOutcome.ABANDONED, detail), took
            )
            raise
        finally:
            shared.loads.end(instance, end)
        self._learn(instance, attempted, began)
        self._log(placed, attempted, shared.clock.monotonic() - began)
        return attempted

    def may_go_on(self, attempted: AttemptResult) -> bool:
        """Decide whether another upstream gets the request."""
        route = self._admitted.route
        last = self.passage.splitter.last_id
        if not may_try_again(attempted, route.repeatability, last):
            return False
        if attempted.ending is AttemptOutcome.NOT_SENT:
            return self._unreached < MAX_UNREACHED
        if self._made >= route.max_attempts:
            return False
        return self._shared.retries.spend(self._admitted.service)

    def record_load(self, instance: Instance, load: ReportedLoad) -> None:
        """Take what an upstream says of its load."""
        self._shared.loads.report(instance, load)

    def record_start(self, instance: Instance) -> None:
        """Note who has read the prompt; its answer may take seconds more."""
        self._shared.prompts.record_read(
            self._request.shared_parts, instance.incarnation
        )

    @property
    def _runs_once(self) -> bool:
        return self._admitted.route.repeatability is Repeatability.ONCE

    def _handover(
        self, placed: PlacedUpstream, admitted: AdmittedRequest
    ) -> RequestMetadata:
        organisation = admitted.organisation
        left = admitted.deadline - self._shared.clock.monotonic()
        return RequestMetadata(
            instance=placed.instance.name,
            organisation='' if organisation is None else organisation.name,
            priority=admitted.priority,
            time_left=timedelta(seconds=max(0, left)),
            cache_source='' if placed.source is None else placed.source.address,
        )

    def _patience(self) -> timedelta | None:
        """Return how long the head may take where another try is possible."""
        route = self._admitted.route
        if self._runs_once or self._made + 1 >= route.max_attempts:
            return None
        return max(PATIENCE_MIN, PATIENCE_FACTOR * route.target_latency)

    def _learn(
        self, instance: Instance, attempted: AttemptResult, began: float
    ) -> None:
        """Tell the others what the end of an attempt says."""
        self._count(attempted)
        shared = self._shared
        if isinstance(attempted.result, UpstreamAnswer):
            self.failure = attempted.result
        if attempted.ending is AttemptOutcome.ANSWERED:
            shared.crashes.record_success(self.fingerprint)
        elif attempted.ending is AttemptOutcome.BROKEN:
            shared.crashes.investigate_cut(self.fingerprint, instance, began)
        elif attempted.ending is AttemptOutcome.MISDIRECTED:
            shared.registry.mark_misdirected(instance)

    def _count(self, attempted: AttemptResult) -> None:
        if attempted.ending is AttemptOutcome.NOT_SENT:
            self._unreached += 1
        elif attempted.ending is not AttemptOutcome.MISDIRECTED:
            self._made += 1

    def _end_of_abandoned(self, waited: float) -> ExchangeOutcome:
        silent = self._exchange.facts is None and self.in_doubt
        if silent and waited > SUSPICIOUS_SILENCE.total_seconds():
            return ExchangeOutcome.SILENT
        return ExchangeOutcome.ABANDONED

    def _log(
        self, placed: PlacedUpstream, attempted: AttemptResult, took: float
    ) -> None:
        log_message(
            'request.attempt',
            request=self._request.attempt,
            route=self._admitted.route.name,
            upstream=placed.instance.name,
            sequence=placed.instance.sequence,
            first_choice=placed.first_choice,
            load=placed.load,
            prompt_known=not placed.is_unread,
            cache_source='' if placed.source is None else placed.source.name,
            slot=None if placed.slot is None else placed.slot.grant,
            configuration_age=round(self._shared.gate.configuration_age, 3),
            ending=attempted.ending.value,
            detail=attempted.detail,
            ms=round(took * 1000),
        )
