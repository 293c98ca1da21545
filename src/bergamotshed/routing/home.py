"""
bergamotshed.routing.home
~~~~~~~~~~~~~~~~~~~~~~~~~

The home of one service partition. It holds every reservation of the
partition, so it places with full knowledge of its load.
"""

__all__ = ('Home', 'HomeState')

import asyncio
import random
from collections.abc import Mapping
from dataclasses import dataclass

from ..clock import Clock
from ..control.types import ConfigurationInForce
from ..reasons import Refusal
from .admission import Admission
from .decisions import Decision
from .fairqueue import Ticket
from .guards import Guards
from .inflight import InFlightTable, grant_series
from .memory import ChatMemory
from .pools import PoolBuilder
from .reserver import Reserver
from .types import Outcome, Placement, PlacementRequest
from .view import FleetView

MAX_CHATS = 250_000
RECHECK_INTERVAL_S = 0.25


@dataclass(frozen=True, slots=True)
class HomeState:
    """State of a home, for the state dump.

    :ivar bound: maximum number of requests in flight on one upstream once
        one more request runs
    :ivar waiting: number of waiting requests by organisation
    :ivar grants: number of open reservations
    :ivar chats: number of remembered chats
    :ivar drain_rate: requests that finish per second
    """

    service: str
    in_flight: dict[str, int]
    bound: int
    waiting: dict[str, int]
    grants: int
    chats: int
    drain_rate: float


class Home:
    """Places the requests of one service partition.

    :param service_name: the service
    :param rng: adds jitter to the retry times of refused callers and draws
        the series of grant numbers
    :param router: name of the router that this home runs on
    :param share: fraction of each upstream's slots that this home may use
    :param guards: further checks of placements
    :param max_chats: maximum number of remembered chats
    """

    def __init__(
        self,
        service_name: str,
        configuration: ConfigurationInForce,
        view: FleetView,
        clock: Clock,
        rng: random.Random,
        *,
        router: str = '',
        share: float = 1,
        guards: Guards | None = None,
        max_chats: int = MAX_CHATS,
    ) -> None:
        guards = guards or Guards()
        self._service_name = service_name
        self._view = view
        self._router = router
        self._admission = Admission(clock, rng)
        table = InFlightTable(clock, grant_series(rng))
        self._reserver = Reserver(
            service_name,
            configuration,
            clock,
            self._admission,
            table,
            ChatMemory(max_chats),
            PoolBuilder(view, table, share, guards.readiness),
            router=router,
            guards=guards,
        )

    @property
    def memory(self) -> ChatMemory:
        """Return the memory of which upstreams cache the chats' histories."""
        return self._reserver.memory

    async def place(
        self, router: str, request: PlacementRequest
    ) -> Placement | Refusal:
        """Reserve an upstream, waiting at most until the request's deadline.

        A cancelled call leaves neither a reservation nor a waiting request
        behind.

        :param router: name of the requesting router
        """
        ticket = self._reserver.create_ticket(router, request)
        refusal = self._reserver.find_refusal(request) or self._start_or_queue(
            ticket
        )
        if refusal is not None:
            self._reserver.record_decision(ticket, refusal.reason.value)
            return refusal
        try:
            return await self._wait(ticket)
        except asyncio.CancelledError:
            self._withdraw(ticket)
            raise

    def release(
        self,
        router: str,
        grant: int,
        chat: int,
        outcome: Outcome,
        cached: int,
        upstream: str,
    ) -> None:
        """Release a reservation; idempotent.

        :param cached: history tokens that were served from cache
        """
        released = self._reserver.end(router, grant, chat, outcome)
        if outcome is Outcome.DONE:
            history = released.history if released else 0
            self.memory.remember(chat, upstream, max(history, cached))
        self.refresh()

    def reconcile(
        self,
        router: str,
        incarnation: int,
        last_seen_grant: int,
        counts: Mapping[str, int],
    ) -> None:
        """Adopt a router's own count of what it has in flight.

        :param incarnation: grows at each start of the router
        :param last_seen_grant: newest grant number that the router had received
        """
        table = self._reserver.table
        dropped = table.reconcile(router, incarnation, last_seen_grant, counts)
        self._reserver.grants.close_all(dropped)
        others = {node.name for node in self._view.routers()} - {self._router}
        if all(table.last_report_time(name) is not None for name in others):
            table.discard_reported_loads()
        self.refresh()

    def release_router(self, router: str) -> None:
        """Release all reservations of a router that is gone."""
        self._reserver.grants.close_all(
            self._reserver.table.remove_router(router)
        )
        self.refresh()

    def record_reported_load(
        self, upstream: str, in_flight_reported: int
    ) -> None:
        """Record an upstream's own report of its load.

        Until all routers have reported to a new home, the upstream counts
        as having at least this many requests.
        """
        others = {node.name for node in self._view.routers()} - {self._router}
        if any(
            self._reserver.table.last_report_time(name) is None
            for name in others
        ):
            self._reserver.table.record_reported_load(
                upstream, in_flight_reported
            )

    def refresh(self) -> None:
        """Start the waiting requests that can start; refuse expired ones."""
        self._admission.expire()
        self._refuse_quarantined()
        reserver = self._reserver
        queue = self._admission.queue
        started = len(queue) > 0
        while started:
            ticket = queue.start_next(reserver.is_eligible, reserver.start)
            started = ticket is not None

    def explain(self, request_id: str) -> tuple[Decision, ...]:
        """Return the decisions on one request that are still in the log."""
        return self._reserver.decisions.explain(request_id)

    def state(self) -> HomeState:
        """Return the state for the state dump."""
        loads = self._reserver.loads()
        return HomeState(
            service=self._service_name,
            in_flight=dict(loads.counts),
            bound=loads.bound,
            waiting=self._admission.queue.lengths(),
            grants=len(self._reserver.grants),
            chats=len(self.memory),
            drain_rate=self._admission.drain_rate,
        )

    def _refuse_quarantined(self) -> None:
        for ticket in list(self._admission.queue):
            refusal = self._reserver.quarantine_refusal(ticket.request)
            if refusal is not None:
                self._admission.withdraw(ticket, refusal)

    def _start_or_queue(self, ticket: Ticket) -> Refusal | None:
        """Start a request at once or queue it."""
        if self._try_start(ticket):
            return None
        service = self._reserver.service
        limit = service.queue if service else 0
        refusal = self._admission.enqueue(ticket, limit)
        if refusal is not None:
            ticket.can_wait = False
            if self._try_start(ticket):
                return None
        self.refresh()
        return refusal

    def _try_start(self, ticket: Ticket) -> bool:
        """Try to start a new request without waiting."""
        if not self._reserver.is_eligible(ticket.organisation):
            return False
        return self._reserver.start(ticket)

    async def _wait(self, ticket: Ticket) -> Placement | Refusal:
        while not ticket.answer.done():
            await asyncio.wait((ticket.answer,), timeout=RECHECK_INTERVAL_S)
            if not ticket.answer.done():
                self.refresh()
        answer = ticket.answer.result()
        if isinstance(answer, Refusal):
            self._reserver.record_decision(ticket, answer.reason.value)
        return answer

    def _withdraw(self, ticket: Ticket) -> None:
        """Remove the ticket or the reservation of a cancelled call."""
        if self._admission.queue.remove(ticket):
            ticket.answer.cancel()
            return
        placement = ticket.answer.result()
        if isinstance(placement, Placement):
            chat = ticket.request.chat
            self._reserver.end(
                ticket.router, placement.grant, chat, Outcome.UNREACHABLE
            )
            self.refresh()
