"""
bergamotshed.routing.reserver
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Chooses an upstream for one request and reserves it.
"""

__all__ = ('Reserver',)

import asyncio
from collections.abc import Mapping
from datetime import timedelta

from ..clock import Clock
from ..control.types import ConfigurationInForce
from ..fleet import Service
from ..reasons import Reason, Refusal
from .admission import Admission
from .decisions import Decision, DecisionLog
from .fairqueue import Ticket
from .grants import NEVER_RAN, Grant, GrantTable
from .guards import Guards
from .inflight import InFlightTable
from .memory import ChatMemory
from .policies import (
    PlacementPolicy,
    PlacementReason,
    PolicyQuery,
    Pool,
    UpstreamChoice,
    find_policy,
)
from .pools import Members, PoolBuilder
from .types import Outcome, Placement, PlacementRequest

NO_UPSTREAM_RETRY_S = 1.0
QUARANTINED = Refusal(
    Reason.QUARANTINED, detail='upstreams crash on this request'
)


class Reserver:
    """Makes and ends the reservations of one service partition.

    :param router: name of the router that grants them
    """

    def __init__(
        self,
        service_name: str,
        configuration: ConfigurationInForce,
        clock: Clock,
        admission: Admission,
        table: InFlightTable,
        memory: ChatMemory,
        pools: PoolBuilder,
        *,
        router: str,
        guards: Guards,
    ) -> None:
        self.table = table
        self.memory = memory
        self.grants = GrantTable(admission, clock)
        self._guards = guards
        self.decisions = DecisionLog()
        self._pools = pools
        self._service_name = service_name
        self._configuration = configuration
        self._clock = clock
        self._admission = admission
        self._router = router
        self._policy: PlacementPolicy | None = None
        self._shares: Mapping[str, float] = {}
        self._shares_version = -1

    @property
    def service(self) -> Service | None:
        """Return the service as currently configured."""
        return self._configuration.fleet.service(self._service_name)

    def shares(self) -> Mapping[str, float]:
        """Return the weight of each organisation that uses the service."""
        if self._shares_version != self._configuration.version:
            self._shares_version = self._configuration.version
            self._shares = {
                organisation.name: organisation.share
                for organisation in self._configuration.fleet.organisations
                if self._service_name in organisation.services
            }
        return self._shares

    def create_ticket(self, router: str, request: PlacementRequest) -> Ticket:
        """Return a ticket for a request that arrives now."""
        now = self._clock.monotonic()
        return Ticket(
            router=router,
            request=request,
            weight=self.shares().get(request.organisation, 1),
            arrival_time=now,
            deadline=now + request.deadline.total_seconds(),
            answer=asyncio.get_running_loop().create_future(),
        )

    def find_refusal(self, request: PlacementRequest) -> Refusal | None:
        """Return a refusal if a request can be placed neither now nor later."""
        service = self.service
        if service is None:
            return Refusal(Reason.UNKNOWN_SERVICE, detail=self._service_name)
        if request.deadline <= timedelta(0):
            return self._admission.deadline_refusal()
        refusal = self.quarantine_refusal(request)
        if refusal is not None:
            return refusal
        names = self._pools.members(service).names
        if any(name not in request.excluded for name in names):
            return None
        return Refusal(
            Reason.NO_ENGINE,
            self._admission.retry_after(NO_UPSTREAM_RETRY_S),
            f'{len(names)} live upstreams, none left to try',
        )

    def is_eligible(self, organisation: str) -> bool:
        """Return whether an organisation may take a slot now."""
        service = self.service
        if service is None:
            return False
        members = self._pools.members(service)
        return self._admission.can_start(
            organisation,
            self.shares(),
            members.slots * len(members.upstreams),
            self._pools.free_slots(members),
        )

    def quarantine_refusal(self, request: PlacementRequest) -> Refusal | None:
        """Return a refusal if the request is quarantined."""
        if self._guards.is_quarantined(request.fingerprint):
            return QUARANTINED
        return None

    def start(self, ticket: Ticket) -> bool:
        """Reserve an upstream for a request; return whether it succeeded."""
        service = self.service
        if service is None or ticket.answer.done():
            return False
        members = self._pools.members(service)
        request = ticket.request
        crashes = self._crashes(request)
        if not self.grants.identical.can_start(request.fingerprint, crashes):
            return False
        is_suspect = crashes > 0
        barred = self.grants.closed_to_suspects() if is_suspect else ()
        pool = self._pools.pool(service, members, request, barred)
        choice = self._choose(service, ticket, pool, is_suspect=is_suspect)
        if choice is None:
            return False
        self._reserve(ticket, members, choice, is_suspect=is_suspect)
        self.record_decision(ticket, choice.reason.value, choice.upstream, pool)
        return True

    def end(
        self, router: str, number: int, chat: int, outcome: Outcome
    ) -> Grant | None:
        """Release a reservation; ``None`` if it was released before."""
        self.table.release(router, number)
        grant = self.grants.close(number, outcome)
        if grant is not None and outcome in NEVER_RAN:
            self.memory.evict(chat, grant.upstream)
        return grant

    def record_decision(
        self,
        ticket: Ticket,
        reason: str,
        upstream: str = '',
        pool: Pool | None = None,
    ) -> None:
        """Log a decision so that it can be explained."""
        self.decisions.add(
            Decision(
                request=ticket.request.request,
                organisation=ticket.organisation,
                time=self._clock.now(),
                upstream=upstream,
                reason=reason,
                counts=pool.counts if pool else {},
                bound=pool.bound if pool else 0,
                waited=self._clock.monotonic() - ticket.arrival_time,
            )
        )

    def loads(self) -> Pool:
        """Return upstream loads and the bound, for the state dump."""
        service = self.service
        if service is None:
            return Pool((), {}, 0)
        members = self._pools.members(service)
        counts = {name: self.table.count(name) for name in members.names}
        if not counts:
            return Pool((), {}, 0)
        return Pool(members.names, counts, self._pools.bound(service, members))

    def _crashes(self, request: PlacementRequest) -> int:
        """Return the number of crashes that the request may have caused."""
        crashed_upstreams = self._guards.crashed_by(request.fingerprint)
        crashes = self.grants.identical.crashes(
            request.fingerprint, crashed_upstreams
        )
        return max(crashes, int(request.suspect))

    def _choose(
        self, service: Service, ticket: Ticket, pool: Pool, *, is_suspect: bool
    ) -> UpstreamChoice | None:
        request = ticket.request
        if is_suspect:
            chosen = pool.least_loaded(pool.names)
            return (
                UpstreamChoice(chosen, PlacementReason.LEAST_LOADED)
                if chosen
                else None
            )
        if self._policy is None or self._policy.name != service.policy:
            self._policy = find_policy(service.policy)
        if self._policy is None:
            return None
        waited = self._clock.monotonic() - ticket.arrival_time
        reread_time = request.history / service.prefill_rate
        patience = min(service.patience, reread_time)
        can_wait = ticket.can_wait and waited < patience
        query = PolicyQuery(request.chat, request.preferred, can_wait)
        return self._policy.choose(query, pool, self.memory)

    def _reserve(
        self,
        ticket: Ticket,
        members: Members,
        choice: UpstreamChoice,
        *,
        is_suspect: bool,
    ) -> None:
        request = ticket.request
        number = self.table.reserve(ticket.router, choice.upstream)
        grant = Grant(
            request.organisation,
            request.chat,
            choice.upstream,
            request.history,
            is_suspect,
            request.fingerprint,
        )
        self.grants.open(number, grant)
        self.memory.remember(request.chat, choice.upstream, request.history)
        placement = Placement(
            members.named(choice.upstream),
            number,
            self._router,
            choice.first_choice,
        )
        ticket.answer.set_result(placement)
