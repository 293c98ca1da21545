"""
bergamotshed.routing.home
~~~~~~~~~~~~~~~~~~~~~~~~~

The home of one service partition: it holds every reservation of the
partition, so it places like one router that sees everything.
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
    """What a home holds, for the state dump.

    :ivar bound: what one upstream may hold once one more request runs
    :ivar drain_rate: requests that finish a second
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
    :param rng: jitters the retry times of refused callers and sets the
        series of grant numbers
    :param router: name of the router that this home runs on
    :param share: part of each upstream's slots that this home may use
    :param guards: what else is consulted
    :param max_chats: how many chats may be remembered
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
        """Return where the chats' histories lie."""
        return self._reserver.memory

    async def place(
        self, router: str, request: PlacementRequest
    ) -> Placement | Refusal:
        """Reserve a place, waiting at most until the request's deadline.

        A cancelled call leaves neither a reservation nor a place in the
        queue behind.

        :param router: name of the router that asks
        """
        ticket = self._reserver.create_ticket(router, request)
        refused = self._reserver.find_refusal(request) or self._enter(ticket)
        if refused is not None:
            self._reserver.record_decision(ticket, refused.reason.value)
            return refused
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
        """Give a place back; harmless when repeated.

        :param cached: history tokens that were served from cache
        """
        ended = self._reserver.end(router, grant, chat, outcome)
        if outcome is Outcome.DONE:
            history = ended.history if ended else 0
            self.memory.remember(chat, upstream, max(history, cached))
        self.refresh()

    def reconcile(
        self,
        router: str,
        incarnation: int,
        seen: int,
        counts: Mapping[str, int],
    ) -> None:
        """Take over a router's own count of what it has in flight.

        :param incarnation: grows at each start of the router
        :param seen: newest grant number that the router had received
        """
        table = self._reserver.table
        dropped = table.reconcile(router, incarnation, seen, counts)
        self._reserver.grants.close_all(dropped)
        others = {node.name for node in self._view.routers()} - {self._router}
        if all(table.last_report_time(name) is not None for name in others):
            table.discard_reported_loads()
        self.refresh()

    def release_router(self, router: str) -> None:
        """Give back all places of a router that is gone."""
        self._reserver.grants.close_all(
            self._reserver.table.remove_router(router)
        )
        self.refresh()

    def record_reported_load(
        self, upstream: str, in_flight_reported: int
    ) -> None:
        """Note an upstream's own report of its load.

        While not all routers have been heard by a new home, the upstream
        counts as holding at least this many requests.
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
        """Start the waiting requests that fit now and refuse late ones."""
        self._admission.expire()
        self._refuse_quarantined()
        reserver = self._reserver
        queue = self._admission.queue
        started = len(queue) > 0
        while started:
            ticket = queue.start_next(reserver.is_eligible, reserver.start)
            started = ticket is not None

    def explain(self, request_id: str) -> tuple[Decision, ...]:
        """Return the decisions on one request that are still kept."""
        return self._reserver.decisions.explain(request_id)

    def state(self) -> HomeState:
        """Return what this home holds, for the state dump."""
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
            refused = self._reserver.quarantine_refusal(ticket.request)
            if refused is not None:
                self._admission.withdraw(ticket, refused)

    def _enter(self, ticket: Ticket) -> Refusal | None:
        """Start a request at once or let it wait."""
        if self._start(ticket):
            return None
        service = self._reserver.service
        limit = service.queue if service else 0
        refused = self._admission.enqueue(ticket, limit)
        if refused is not None:
            ticket.can_wait = False
            if self._start(ticket):
                return None
        self.refresh()
        return refused

    def _start(self, ticket: Ticket) -> bool:
        """Start a newcomer without waiting, if it may."""
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
        """Undo all that a cancelled call has brought about."""
        if self._admission.queue.remove(ticket):
            ticket.answer.cancel()
            return
        placed = ticket.answer.result()
        if isinstance(placed, Placement):
            chat = ticket.request.chat
            self._reserver.end(
                ticket.router, placed.grant, chat, Outcome.UNREACHABLE
            )
            self.refresh()
