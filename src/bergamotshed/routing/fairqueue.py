"""
bergamotshed.routing.fairqueue
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Requests that wait for a slot, served by deficit round robin.
"""

__all__ = ('Backlog', 'FairQueue', 'Ticket')

import asyncio
from bisect import insort
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from ..reasons import Refusal
from .types import Placement, PlacementRequest

SCAN_LIMIT = 16


@dataclass(slots=True, eq=False)
class Ticket:
    """One waiting request.

    :ivar router: the router that asked
    :ivar weight: share of its organisation
    :ivar arrival_time: when it began to wait, in monotonic seconds
    :ivar deadline: its deadline, in monotonic seconds
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
        """Return the organisation that waits."""
        return self.request.organisation

    @property
    def order(self) -> tuple[int, int]:
        """Return the sort key within the organisation."""
        return self.request.priority, self.number


@dataclass(frozen=True, slots=True)
class Backlog:
    """An organisation's waiting requests.

    :ivar length: how many, for each unit of its weight
    :ivar last: the one that would be served last
    """

    length: float
    last: Ticket


@dataclass(slots=True, eq=False)
class _Lane:
    """The waiting requests of one organisation, the most urgent first.

    :ivar scanned: how many of the first were tried since one was started
    """

    organisation: str
    weight: float
    deficit: float = 0
    scanned: int = 0
    tickets: list[Ticket] = field(default_factory=list)


class FairQueue:
    """Serves organisations in turn, weighted, one request a unit.

    Within an organisation the more urgent priority goes first, then the
    older request.
    """

    def __init__(self) -> None:
        self._lanes: dict[str, _Lane] = {}
        self._turns: deque[_Lane] = deque()
        self._size = 0
        self._last_number = 0

    def __len__(self) -> int:
        """Return how many requests wait."""
        return self._size

    def __iter__(self) -> Iterator[Ticket]:
        """Iterate over the waiting requests, one organisation at a time."""
        for lane in self._turns:
            yield from lane.tickets

    def length(self, organisation: str) -> int:
        """Return how many requests of one organisation wait."""
        lane = self._lanes.get(organisation)
        return len(lane.tickets) if lane else 0

    def lengths(self) -> dict[str, int]:
        """Return how many requests of each organisation wait."""
        return {lane.organisation: len(lane.tickets) for lane in self._turns}

    def total_weight(self) -> float:
        """Return the sum of the waiting organisations' weights."""
        return sum(lane.weight for lane in self._turns)

    def count_ahead(self, organisation: str, priority: int) -> int:
        """Return how many of its own organisation a newcomer would follow."""
        lane = self._lanes.get(organisation)
        if lane is None:
            return 0
        return sum(
            ticket.request.priority <= priority for ticket in lane.tickets
        )

    def push(self, ticket: Ticket) -> None:
        """Add a request."""
        self._last_number += 1
        ticket.number = self._last_number
        lane = self._lanes.get(ticket.organisation)
        if lane is None:
            lane = _Lane(ticket.organisation, ticket.weight)
            self._lanes[ticket.organisation] = lane
            self._turns.append(lane)
        lane.weight = ticket.weight
        insort(lane.tickets, ticket, key=lambda waiting: waiting.order)
        self._size += 1

    def remove(self, ticket: Ticket) -> bool:
        """Take a request out; false if it is not waiting."""
        lane = self._lanes.get(ticket.organisation)
        if lane is None or ticket not in lane.tickets:
            return False
        self._take_out(lane, ticket)
        return True

    def start_next(
        self,
        eligible: Callable[[str], bool],
        start: Callable[[Ticket], bool],
    ) -> Ticket | None:
        """Remove and return the next request that could be started.

        :param eligible: tells whether an organisation may start any
        :param start: tries to start a request; true if it did
        """
        for lane in tuple(self._turns):
            ticket = None
            if eligible(lane.organisation):
                ticket = self._first(lane, start)
            if ticket is not None:
                self._serve(lane, ticket)
                return ticket
        return None

    def longest_backlog(self) -> Backlog | None:
        """Return the organisation that waits most for its weight."""
        if not self._turns:
            return None
        lane = max(self._turns, key=_length_by_weight)
        return Backlog(_length_by_weight(lane), lane.tickets[-1])

    def _first(
        self, lane: _Lane, start: Callable[[Ticket], bool]
    ) -> Ticket | None:
        """Try some requests, from where the last vain try ended."""
        begin = lane.scanned if lane.scanned < len(lane.tickets) else 0
        lane.scanned = begin + SCAN_LIMIT
        for ticket in lane.tickets[begin : lane.scanned]:
            if start(ticket):
                lane.scanned = 0
                return ticket
        return None

    def _serve(self, lane: _Lane, ticket: Ticket) -> None:
        """Take a request out; the next organisation follows once the turn is
        used up.

        The organisations before it lose their turn, which they can't use.
        Where nobody can, all turns stay as they are: a full service is tried
        after each end of a request.
        """
        while self._turns[0] is not lane:
            self._turns[0].deficit = 0
            self._turns.rotate(-1)
            self._begin_turn()
        if lane.deficit < 1:
            self._begin_turn()
        lane.deficit -= 1
        self._take_out(lane, ticket)
        if lane.tickets and lane.deficit < 1:
            self._turns.rotate(-1)
            self._begin_turn()

    def _take_out(self, lane: _Lane, ticket: Ticket) -> None:
        lane.tickets.remove(ticket)
        self._size -= 1
        if lane.tickets:
            return
        was_first = self._turns[0] is lane
        self._turns.remove(lane)
        self._lanes.pop(lane.organisation)
        if was_first and self._turns:
            self._begin_turn()

    def _begin_turn(self) -> None:
        """Give the first lane its quantum, at least one request."""
        lightest = min(lane.weight for lane in self._turns)
        lane = self._turns[0]
        lane.deficit += lane.weight / lightest


def _length_by_weight(lane: _Lane) -> float:
    return len(lane.tickets) / lane.weight
