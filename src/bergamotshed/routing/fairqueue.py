"""
bergamotshed.routing.fairqueue
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Queue of requests that wait for a slot, served by deficit round robin.
"""

__all__ = ('Backlog', 'FairQueue', 'Ticket')

import asyncio
from bisect import insort
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from ..reasons import Refusal
from .types import Placement, PlacementRequest

MAX_SCANNED_TICKETS = 16


@dataclass(slots=True, eq=False)
class Ticket:
    """A waiting request.

    :ivar router: name of the router that sent it
    :ivar weight: share of its organisation
    :ivar arrival_time: when it began to wait, in monotonic seconds
    :ivar deadline: when it is refused, in monotonic seconds
    :ivar can_wait: it may wait for the upstream that caches its history
    """

    router: str
    request: PlacementRequest
    weight: float
    arrival_time: float
    deadline: float
    answer: asyncio.Future[Placement | Refusal]
    number: int = 0
    can_wait: bool = True

    @property
    def organisation(self) -> str:
        """Return the organisation of the request."""
        return self.request.organisation

    @property
    def order(self) -> tuple[int, int]:
        """Return the sort key within the organisation."""
        return self.request.priority, self.number


@dataclass(frozen=True, slots=True)
class Backlog:
    """An organisation's waiting requests.

    :ivar length: number of requests per unit of its weight
    :ivar last: the request that would be served last
    """

    length: float
    last: Ticket


@dataclass(slots=True, eq=False)
class _OrganisationQueue:
    """The waiting requests of one organisation, the most urgent first.

    :ivar deficit: requests that it may still start in this round
    :ivar scanned: number of leading requests that were tried since the last
        one was started
    """

    organisation: str
    weight: float
    deficit: float = 0
    scanned: int = 0
    tickets: list[Ticket] = field(default_factory=list)


class FairQueue:
    """Deficit round robin over organisations; each request costs one unit.

    Within an organisation the more urgent request is served first, then
    the older one.
    """

    def __init__(self) -> None:
        self._by_organisation: dict[str, _OrganisationQueue] = {}
        self._round: deque[_OrganisationQueue] = deque()
        self._size = 0
        self._last_number = 0

    def __len__(self) -> int:
        """Return how many requests wait."""
        return self._size

    def __iter__(self) -> Iterator[Ticket]:
        """Iterate over the waiting requests, one organisation at a time."""
        for queue in self._round:
            yield from queue.tickets

    def length(self, organisation: str) -> int:
        """Return how many requests of one organisation wait."""
        queue = self._by_organisation.get(organisation)
        return len(queue.tickets) if queue else 0

    def lengths(self) -> dict[str, int]:
        """Return how many requests of each organisation wait."""
        return {queue.organisation: len(queue.tickets) for queue in self._round}

    def total_weight(self) -> float:
        """Return the sum of the waiting organisations' weights."""
        return sum(queue.weight for queue in self._round)

    def count_ahead(self, organisation: str, priority: int) -> int:
        """Return how many requests of its organisation precede a new one."""
        queue = self._by_organisation.get(organisation)
        if queue is None:
            return 0
        return sum(
            ticket.request.priority <= priority for ticket in queue.tickets
        )

    def push(self, ticket: Ticket) -> None:
        """Add a request."""
        self._last_number += 1
        ticket.number = self._last_number
        queue = self._by_organisation.get(ticket.organisation)
        if queue is None:
            queue = _OrganisationQueue(ticket.organisation, ticket.weight)
            self._by_organisation[ticket.organisation] = queue
            self._round.append(queue)
        queue.weight = ticket.weight
        insort(queue.tickets, ticket, key=lambda queued: queued.order)
        self._size += 1

    def remove(self, ticket: Ticket) -> bool:
        """Remove a request; return whether it was waiting."""
        queue = self._by_organisation.get(ticket.organisation)
        if queue is None or ticket not in queue.tickets:
            return False
        self._remove_from(queue, ticket)
        return True

    def start_next(
        self,
        is_eligible: Callable[[str], bool],
        try_start: Callable[[Ticket], bool],
    ) -> Ticket | None:
        """Start, remove and return the next request that can start.

        :param is_eligible: returns whether an organisation may start a request
        :param try_start: tries to start a request; returns whether it did
        """
        for queue in tuple(self._round):
            ticket = None
            if is_eligible(queue.organisation):
                ticket = self._start_first(queue, try_start)
            if ticket is not None:
                self._charge_and_remove(queue, ticket)
                return ticket
        return None

    def longest_backlog(self) -> Backlog | None:
        """Return the longest backlog relative to its weight."""
        if not self._round:
            return None
        queue = max(self._round, key=_length_by_weight)
        return Backlog(_length_by_weight(queue), queue.tickets[-1])

    def _start_first(
        self, queue: _OrganisationQueue, try_start: Callable[[Ticket], bool]
    ) -> Ticket | None:
        """Try some requests, resuming where the last failed scan ended."""
        first = queue.scanned if queue.scanned < len(queue.tickets) else 0
        queue.scanned = first + MAX_SCANNED_TICKETS
        for ticket in queue.tickets[first : queue.scanned]:
            if try_start(ticket):
                queue.scanned = 0
                return ticket
        return None

    def _charge_and_remove(
        self, queue: _OrganisationQueue, ticket: Ticket
    ) -> None:
        """Remove a request; the next organisation follows once the deficit
        is used up.

        The organisations before it in the round lose their turn, as none of
        their requests can start. Where no request can start at all, the
        order is left alone: a full service is scanned again whenever a
        request ends.
        """
        while self._round[0] is not queue:
            self._round[0].deficit = 0
            self._round.rotate(-1)
            self._begin_turn()
        if queue.deficit < 1:
            self._begin_turn()
        queue.deficit -= 1
        self._remove_from(queue, ticket)
        if queue.tickets and queue.deficit < 1:
            self._round.rotate(-1)
            self._begin_turn()

    def _remove_from(self, queue: _OrganisationQueue, ticket: Ticket) -> None:
        queue.tickets.remove(ticket)
        self._size -= 1
        if queue.tickets:
            return
        was_first = self._round[0] is queue
        self._round.remove(queue)
        self._by_organisation.pop(queue.organisation)
        if was_first and self._round:
            self._begin_turn()

    def _begin_turn(self) -> None:
        """Add the first organisation's quantum, at least one request."""
        lightest = min(queue.weight for queue in self._round)
        queue = self._round[0]
        queue.deficit += queue.weight / lightest


def _length_by_weight(queue: _OrganisationQueue) -> float:
    return len(queue.tickets) / queue.weight
