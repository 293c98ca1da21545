"""
bergamotshed.routing.slothome
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Places the requests of a service whose upstreams have fewer slots than there
are routers.

Answers the load of many routers before few slots: each of them sees a small
part of the requests, so that placing alone overfills one upstream while
another one has room. One router, the home, counts them all and lets requests
wait in fair turn for the next free slot.
"""

__all__ = ('SlotHome', 'max_in_flight', 'upstream_of')

import asyncio
import heapq
import math
from collections.abc import Iterable

from ..clock import Clock
from ..reasons import Refusal
from ..upstreams.types import Instance
from .admission import Admission
from .cache_source import ListedUpstreams
from .fairqueue import Ticket
from .inflight import InFlightTable
from .types import Placement, PlacementRequest, Upstream

#: Requests that an upstream gets beyond its slots, as part of them: they begin
#: at once when slots are free, while that is still on its way to the home.
OVERCOMMIT_SHARE = 0.25
#: Requests that may wait for each slot; more would wait too long anyway.
MAX_WAITING_PER_SLOT = 4


class SlotHome:
    """Holds the slots of one service.

    :param grant_base: grants are numbered from here, so that a release for
        a former home frees nothing
    """

    def __init__(
        self,
        service: str,
        listed: ListedUpstreams,
        admission: Admission,
        clock: Clock,
        grant_base: int = 0,
    ) -> None:
        self._service = service
        self._listed = listed
        self._admission = admission
        self._clock = clock
        self._table = InFlightTable(clock, grant_base)
        self._grants: dict[int, Ticket] = {}
        self._deadlines: list[tuple[float, int]] = []

    @property
    def in_flight(self) -> dict[str, int]:
        """Return the granted slots of each upstream."""
        return {one.name: self._table.count(one.name) for one in self._members}

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self._admission.queue)

    async def place(
        self, router: str, request: PlacementRequest
    ) -> Placement | Refusal:
        """Grant a slot, after a wait if need be.

        :param router: who asks
        """
        self._expire()
        ticket = self._ticket(router, request)
        if not self.waiting and self._start(ticket):
            return ticket.answer.result()
        slots = sum(one.slots for one in self._members)
        refused = self._admission.enqueue(ticket, slots * MAX_WAITING_PER_SLOT)
        if refused is not None:
            return refused
        self._refresh()
        return await self._wait(ticket)

    def release(self, router: str, number: int, *, ran: bool) -> None:
        """Give a slot back; harmless when repeated."""
        if self._table.release(router, number) is not None:
            self._forget(number, ran=ran)
            self._refresh()

    def release_routers(self, routers: Iterable[str]) -> None:
        """Give back what these routers hold."""
        for router in routers:
            for number in self._table.remove_router(router):
                self._forget(number, ran=False)
        self._refresh()

    @property
    def _members(self) -> tuple[Instance, ...]:
        return self._listed.members(self._service)

    def _ticket(self, router: str, request: PlacementRequest) -> Ticket:
        now = self._clock.monotonic()
        return Ticket(
            router,
            request,
            1,
            now,
            now + request.patience.total_seconds(),
            asyncio.get_running_loop().create_future(),
        )

    async def _wait(self, ticket: Ticket) -> Placement | Refusal:
        patience = ticket.deadline - ticket.arrival_time
        try:
            await asyncio.wait((ticket.answer,), timeout=patience)
        except asyncio.CancelledError:
            self._withdraw(ticket)
            raise
        if not ticket.answer.done():
            refused = self._admission.deadline_refusal()
            self._admission.withdraw(ticket, refused)
            return refused
        return ticket.answer.result()

    def _withdraw(self, ticket: Ticket) -> None:
        """Undo all that a cancelled question has brought about."""
        if self._admission.queue.remove(ticket):
            ticket.answer.cancel()
            return
        placed = ticket.answer.result()
        if isinstance(placed, Placement):
            self.release(ticket.router, placed.grant, ran=False)

    def _start(self, ticket: Ticket) -> bool:
        chosen = self._choose(ticket.request)
        if chosen is None:
            return False
        number = self._table.reserve(ticket.router, chosen.name)
        ticket.answer.set_result(_placement(chosen, number))
        self._grants[number] = ticket
        deadline = ticket.arrival_time + ticket.request.deadline.total_seconds()
        heapq.heappush(self._deadlines, (deadline, number))
        self._admission.record_start(ticket.organisation)
        return True

    def _choose(self, request: PlacementRequest) -> Instance | None:
        """Return the upstream with the most room, ``None`` without any."""
        open_ones = [
            (self._table.count(one.name) / one.slots, one.name, one)
            for one in self._members
            if one.name not in request.excluded
            and self._table.count(one.name) < max_in_flight(one.slots)
        ]
        return min(open_ones)[-1] if open_ones else None

    def _refresh(self) -> None:
        """Start the waiting requests for which there is room."""
        started = self.waiting > 0
        while started:
            ticket = self._admission.queue.start_next(_is_any, self._start)
            started = ticket is not None

    def _expire(self) -> None:
        """Give back slots whose release was lost: their time is over."""
        now = self._clock.monotonic()
        while self._deadlines and self._deadlines[0][0] < now:
            _, number = heapq.heappop(self._deadlines)
            ticket = self._grants.get(number)
            if ticket is not None:
                self.release(ticket.router, number, ran=False)

    def _forget(self, number: int, *, ran: bool) -> None:
        ticket = self._grants.pop(number, None)
        if ticket is not None:
            self._admission.record_end(ticket.organisation, ran=ran)


def max_in_flight(slots: int) -> int:
    """Return how many requests an upstream may have at once."""
    return slots + math.ceil(slots * OVERCOMMIT_SHARE)


def upstream_of(instance: Instance) -> Upstream:
    """Return an upstream as placements name it."""
    return Upstream(
        instance.name, instance.service, instance.address, instance.domain
    )


def _placement(chosen: Instance, number: int) -> Placement:
    return Placement(upstream_of(chosen), number, '')


def _is_any(_organisation: str) -> bool:
    return True
