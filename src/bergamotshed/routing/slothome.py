"""
bergamotshed.routing.slothome
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Places the requests of a service whose upstreams have fewer slots than there
are routers.

Each of many routers sees only a small part of the requests; if each placed on
its own, one upstream would be overloaded while another still has room. One
router, the home, counts all requests and queues them fairly for the next free
slot.
"""

__all__ = ('SlotHome', 'upstream_of')

import asyncio
import heapq
from collections.abc import Callable, Iterable

from ..clock import Clock
from ..reasons import Refusal
from ..upstreams.types import Instance
from .admission import Admission
from .brittle import UpstreamRooms
from .cache_source import ListedUpstreams
from .fairqueue import Ticket
from .inflight import InFlightTable
from .types import Placement, PlacementRequest, Upstream

#: Requests that may wait for each slot; more would exceed their patience.
MAX_WAITING_PER_SLOT = 4


def _whole() -> float:
    return 1


class SlotHome:
    """Grants the slots of one service.

    :param grant_base: grants are numbered from here, so that a release for
        a previous home frees nothing
    :param live_share: returns the part of the routers that are heard, whose
        requests are counted here
    """

    def __init__(
        self,
        service: str,
        listed: ListedUpstreams,
        admission: Admission,
        clock: Clock,
        grant_base: int = 0,
        live_share: Callable[[], float] = _whole,
    ) -> None:
        self._service = service
        self._live_share = live_share
        self._rooms = UpstreamRooms(clock)
        self._tolerance: float | None = None
        self._listed = listed
        self._admission = admission
        self._clock = clock
        self._table = InFlightTable(clock, grant_base)
        self._grants: dict[int, Ticket] = {}
        self._deadlines: list[tuple[float, int]] = []

    @property
    def in_flight(self) -> dict[str, int]:
        """Return the number of granted slots of each upstream."""
        return {
            instance.name: self._table.count(instance.name)
            for instance in self._members
        }

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self._admission.queue)

    async def place(
        self, router: str, request: PlacementRequest
    ) -> Placement | Refusal:
        """Grant a slot, waiting for one if necessary.

        :param router: name of the requesting router
        """
        self._expire()
        self._tolerance = request.tolerance
        ticket = self._ticket(router, request)
        if not self.waiting and self._start(ticket):
            return ticket.answer.result()
        slots = sum(instance.slots for instance in self._members)
        refusal = self._admission.enqueue(ticket, slots * MAX_WAITING_PER_SLOT)
        if refusal is not None:
            return refusal
        self._refresh()
        return await self._wait(ticket)

    def release(
        self,
        router: str,
        grant: int,
        *,
        has_run: bool,
        was_rejected: bool = False,
    ) -> None:
        """Release a slot; idempotent.

        :param was_rejected: the upstream turned the request away
        """
        name = self._table.release(router, grant)
        if name is None:
            return
        if was_rejected:
            self._rooms.record_rejection(name, self._table.count(name))
        self._close_grant(grant, has_run=has_run)
        self._refresh()

    def release_routers(self, routers: Iterable[str]) -> None:
        """Release all slots that these routers hold."""
        for router in routers:
            for grant in self._table.remove_router(router):
                self._close_grant(grant, has_run=False)
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
            refusal = self._admission.deadline_refusal()
            self._admission.withdraw(ticket, refusal)
            return refusal
        return ticket.answer.result()

    def _withdraw(self, ticket: Ticket) -> None:
        """Remove the ticket or release the slot of a cancelled call."""
        if self._admission.queue.remove(ticket):
            ticket.answer.cancel()
            return
        placement = ticket.answer.result()
        if isinstance(placement, Placement):
            self.release(ticket.router, placement.grant, has_run=False)

    def _start(self, ticket: Ticket) -> bool:
        chosen = self._choose(ticket.request)
        if chosen is None:
            return False
        grant = self._table.reserve(ticket.router, chosen.name)
        ticket.answer.set_result(_placement(chosen, grant))
        self._grants[grant] = ticket
        deadline = ticket.arrival_time + ticket.request.deadline.total_seconds()
        heapq.heappush(self._deadlines, (deadline, grant))
        self._admission.record_start(ticket.organisation)
        return True

    def _choose(self, request: PlacementRequest) -> Instance | None:
        """Return the preferred or the least loaded upstream; ``None`` if all
        are full.
        """
        available = [
            (
                self._table.count(instance.name) / instance.slots,
                instance.name,
                instance,
            )
            for instance in self._members
            if instance.name not in request.excluded
            and self._table.count(instance.name)
            < self._rooms.capacity(
                instance, self._tolerance, self._live_share()
            )
        ]
        for _, name, instance in available:
            if name == request.preferred:
                return instance
        return min(available)[-1] if available else None

    def _refresh(self) -> None:
        """Start the waiting requests that can start."""
        started = self.waiting > 0
        while started:
            ticket = self._admission.queue.start_next(_is_eligible, self._start)
            started = ticket is not None

    def _expire(self) -> None:
        """Release slots after the deadline, in case a release was lost."""
        now = self._clock.monotonic()
        while self._deadlines and self._deadlines[0][0] < now:
            _, grant = heapq.heappop(self._deadlines)
            ticket = self._grants.get(grant)
            if ticket is not None:
                self.release(ticket.router, grant, has_run=False)

    def _close_grant(self, grant: int, *, has_run: bool) -> None:
        ticket = self._grants.pop(grant, None)
        if ticket is not None:
            self._admission.record_end(ticket.organisation, has_run=has_run)


def upstream_of(instance: Instance) -> Upstream:
    """Return an instance in the form that placements use."""
    return Upstream(
        instance.name, instance.service, instance.address, instance.domain
    )


def _placement(chosen: Instance, grant: int) -> Placement:
    return Placement(upstream_of(chosen), grant, '')


def _is_eligible(_organisation: str) -> bool:
    return True
