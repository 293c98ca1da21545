"""
bergamotshed.routing.admission
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Whether a request may start now, wait for a slot, or is refused early.
"""

__all__ = ('Admission', 'DrainRate')

import math
import random
from collections import Counter
from collections.abc import Mapping
from datetime import timedelta

from ..clock import Clock
from ..reasons import Reason, Refusal
from .fairqueue import FairQueue, Ticket
from .fairshare import SlotShares

RATE_WINDOW_S = 5.0
MIN_RATE_WINDOW_S = 0.05
RETRY_AFTER_DEFAULT_S = 1.0
RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_MAX_S = 30.0
JITTER_LOW = 0.75
JITTER_HIGH = 1.5


class DrainRate:
    """How many requests finish a second, with older ones fading out."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._started: float | None = None
        self._updated: float = 0
        self._weight: float = 0

    def count(self) -> None:
        """Count one finished request."""
        now = self._clock.monotonic()
        if self._started is None:
            self._started = now
        self._weight = self._faded(now) + 1
        self._updated = now

    def per_second(self) -> float:
        """Return the rate; 0 before anything finished."""
        if self._started is None:
            return 0
        now = self._clock.monotonic()
        age = max(now - self._started, MIN_RATE_WINDOW_S)
        window = RATE_WINDOW_S * -math.expm1(-age / RATE_WINDOW_S)
        return self._faded(now) / window

    def _faded(self, now: float) -> float:
        return self._weight * math.exp((self._updated - now) / RATE_WINDOW_S)


class Admission:
    """Fair shares with borrowing over one service's slots.

    An organisation may use any idle slot, but one that asks for more than
    its fair share must leave a reserve free for the others.

    :param rng: spreads the retry times of refused callers
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self.queue = FairQueue()
        self._clock = clock
        self._rng = rng
        self._held: Counter[str] = Counter()
        self._drain = DrainRate(clock)
        self._shares = SlotShares(clock)

    @property
    def drain_rate(self) -> float:
        """Return the requests that finish a second."""
        return self._drain.per_second()

    def slots_held(self, organisation: str) -> int:
        """Return the slots that an organisation holds."""
        return self._held[organisation]

    def record_start(self, organisation: str) -> None:
        """Note that an organisation took a slot."""
        self._held[organisation] += 1
        self._shares.record_slots(organisation, self._held[organisation])

    def record_end(self, organisation: str, *, ran: bool = True) -> None:
        """Note that an organisation gave a slot back.

        :param ran: false if the request never ran, so that it says nothing
            of the time a slot is held
        """
        self._held[organisation] -= 1
        if self._held[organisation] <= 0:
            self._held.pop(organisation)
        self._shares.record_slots(organisation, self._held[organisation])
        if ran:
            self._drain.count()

    def may_start(
        self,
        organisation: str,
        shares: Mapping[str, float],
        slots: int,
        free: int,
    ) -> bool:
        """Tell whether the organisation may take one of the free slots.

        :param shares: weight of each organisation that uses the service
        :param slots: slots of all upstreams
        """
        if free <= 0:
            return False
        self._shares.refresh(shares, self.queue.lengths(), slots)
        if free > self._shares.reserve_for_others(organisation):
            return True
        waiting = self.queue.length(organisation)
        weight = shares.get(organisation, 1)
        return self._shares.is_below_level(organisation, weight, waiting)

    def enqueue(self, ticket: Ticket, limit: int) -> Refusal | None:
        """Let a request wait, or say why it may not.

        When the queue is full, the organisation that waits most for its
        share loses its last request.
        """
        wait = self.expected_wait(ticket)
        if wait > ticket.deadline - ticket.arrival_time:
            return Refusal(
                Reason.OVERLOADED,
                self.retry_after(wait),
                f'expected wait {wait:.1f} s is past the deadline',
            )
        if len(self.queue) >= limit and not self._make_room(ticket):
            return self._queue_full()
        self.queue.push(ticket)
        return None

    def expire(self) -> None:
        """Refuse the waiting requests whose deadline has passed."""
        now = self._clock.monotonic()
        late = [ticket for ticket in self.queue if ticket.deadline <= now]
        for ticket in late:
            self.withdraw(ticket, self.deadline_refusal())

    def withdraw(self, ticket: Ticket, refused: Refusal) -> None:
        """Answer a waiting request with a refusal."""
        self.queue.remove(ticket)
        _answer(ticket, refused)

    def deadline_refusal(self) -> Refusal:
        """Return the refusal of a request whose deadline has passed."""
        retry_after = self.retry_after(self._time_to_drain())
        return Refusal(Reason.DEADLINE, retry_after, 'no slot in time')

    def expected_wait(self, ticket: Ticket) -> float:
        """Return the seconds that a newcomer would wait; 0 if unknown."""
        rate = self._drain.per_second()
        if rate <= 0:
            return 0
        weights = self.queue.total_weight()
        if not self.queue.length(ticket.organisation):
            weights += ticket.weight
        ahead = self.queue.count_ahead(
            ticket.organisation, ticket.request.priority
        )
        own_turn = (ahead + 1) * weights / ticket.weight
        return min(own_turn, len(self.queue) + 1) / rate

    def retry_after(self, wait: float) -> timedelta:
        """Return a jittered time after which a new try is worthwhile.

        :param wait: seconds until there may be room
        """
        jittered = wait * self._rng.uniform(JITTER_LOW, JITTER_HIGH)
        return timedelta(
            seconds=min(max(jittered, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
        )

    def _time_to_drain(self) -> float:
        rate = self._drain.per_second()
        if rate <= 0:
            return RETRY_AFTER_DEFAULT_S
        return len(self.queue) / rate

    def _queue_full(self) -> Refusal:
        retry_after = self.retry_after(self._time_to_drain())
        return Refusal(Reason.QUEUE_FULL, retry_after, 'the queue is full')

    def _make_room(self, newcomer: Ticket) -> bool:
        longest = self.queue.longest_backlog()
        own = self.queue.length(newcomer.organisation) + 1
        if longest is None or longest.length <= own / newcomer.weight:
            return False
        self.withdraw(longest.last, self._queue_full())
        return True


def _answer(ticket: Ticket, refused: Refusal) -> None:
    if not ticket.answer.done():
        ticket.answer.set_result(refused)
