"""
bergamotshed.routing.admission
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides whether a request starts now, waits for a slot or is refused early.
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
DEFAULT_RETRY_AFTER_S = 1.0
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 30.0
MIN_JITTER_FACTOR = 0.75
MAX_JITTER_FACTOR = 1.5


class DrainRate:
    """Exponentially decaying rate of finished requests."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._first_finish: float | None = None
        self._updated: float = 0
        self._weight: float = 0

    def count(self) -> None:
        """Count one finished request."""
        now = self._clock.monotonic()
        if self._first_finish is None:
            self._first_finish = now
        self._weight = self._decayed_weight(now) + 1
        self._updated = now

    def per_second(self) -> float:
        """Return the rate; 0 before any request has finished."""
        if self._first_finish is None:
            return 0
        now = self._clock.monotonic()
        age = max(now - self._first_finish, MIN_RATE_WINDOW_S)
        window = RATE_WINDOW_S * -math.expm1(-age / RATE_WINDOW_S)
        return self._decayed_weight(now) / window

    def _decayed_weight(self, now: float) -> float:
        return self._weight * math.exp((self._updated - now) / RATE_WINDOW_S)


class Admission:
    """Weighted fair sharing of one service's slots, with borrowing.

    An organisation may use any idle slot, but one that demands more than
    its fair share must leave a reserve free for the others.

    :param rng: adds jitter to the retry times of refused callers
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self.queue = FairQueue()
        self._clock = clock
        self._rng = rng
        self._slots_held: Counter[str] = Counter()
        self._drain_rate = DrainRate(clock)
        self._shares = SlotShares(clock)

    @property
    def drain_rate(self) -> float:
        """Return how many requests finish per second."""
        return self._drain_rate.per_second()

    def slots_held(self, organisation: str) -> int:
        """Return the slots that an organisation holds."""
        return self._slots_held[organisation]

    def record_start(self, organisation: str) -> None:
        """Record that an organisation took a slot."""
        self._slots_held[organisation] += 1
        self._shares.record_slots(organisation, self._slots_held[organisation])

    def record_end(self, organisation: str, *, has_run: bool = True) -> None:
        """Record that an organisation released a slot.

        :param has_run: false if the request never ran; it shows nothing
            about how long slots are held, so the drain rate ignores it
        """
        self._slots_held[organisation] -= 1
        if self._slots_held[organisation] <= 0:
            self._slots_held.pop(organisation)
        self._shares.record_slots(organisation, self._slots_held[organisation])
        if has_run:
            self._drain_rate.count()

    def can_start(
        self,
        organisation: str,
        shares: Mapping[str, float],
        slots: int,
        free: int,
    ) -> bool:
        """Return whether the organisation may take one of the free slots.

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
        """Queue a request, or return why it is refused.

        When the queue is full, the last request of the organisation with
        the longest backlog for its weight is refused instead.
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
        expired = [ticket for ticket in self.queue if ticket.deadline <= now]
        for ticket in expired:
            self.withdraw(ticket, self.deadline_refusal())

    def withdraw(self, ticket: Ticket, refusal: Refusal) -> None:
        """Remove a request from the queue and refuse it."""
        self.queue.remove(ticket)
        _answer(ticket, refusal)

    def deadline_refusal(self) -> Refusal:
        """Return the refusal of a request whose deadline has passed."""
        retry_after = self.retry_after(self._time_to_drain())
        return Refusal(
            Reason.DEADLINE,
            retry_after,
            'no slot in time',
        )

    def expected_wait(self, ticket: Ticket) -> float:
        """Return the seconds that a new request would wait; 0 if unknown."""
        rate = self._drain_rate.per_second()
        if rate <= 0:
            return 0
        weights = self.queue.total_weight()
        if not self.queue.length(ticket.organisation):
            weights += ticket.weight
        ahead = self.queue.count_ahead(
            ticket.organisation, ticket.request.priority
        )
        turns_until_served = (ahead + 1) * weights / ticket.weight
        return min(turns_until_served, len(self.queue) + 1) / rate

    def retry_after(self, wait: float) -> timedelta:
        """Return a jittered delay before the caller should retry.

        :param wait: seconds until there may be room
        """
        jittered = wait * self._rng.uniform(
            MIN_JITTER_FACTOR, MAX_JITTER_FACTOR
        )
        return timedelta(
            seconds=min(max(jittered, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        )

    def _time_to_drain(self) -> float:
        rate = self._drain_rate.per_second()
        if rate <= 0:
            return DEFAULT_RETRY_AFTER_S
        return len(self.queue) / rate

    def _queue_full(self) -> Refusal:
        retry_after = self.retry_after(self._time_to_drain())
        return Refusal(Reason.QUEUE_FULL, retry_after, 'the queue is full')

    def _make_room(self, new_ticket: Ticket) -> bool:
        backlog = self.queue.longest_backlog()
        own_length = self.queue.length(new_ticket.organisation) + 1
        if backlog is None or backlog.length <= own_length / new_ticket.weight:
            return False
        self.withdraw(backlog.last, self._queue_full())
        return True


def _answer(ticket: Ticket, refusal: Refusal) -> None:
    if not ticket.answer.done():
        ticket.answer.set_result(refusal)
