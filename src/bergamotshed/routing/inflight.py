"""
bergamotshed.routing.inflight
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How many requests each upstream holds, as reserved by all routers.
"""

__all__ = ('InFlightTable', 'grant_series')

import random
from collections import Counter
from collections.abc import Iterable, Mapping

from ..clock import Clock
from .router_reservations import RouterReservations

#: Bits of the grants of one series, and of the number of the series; together
#: they fit the 63 bits of a positive integer in a message.
GRANT_BITS = 32
GRANT_SERIES_BITS = 30


def grant_series(rng: random.Random) -> int:
    """Return the number before the first grant of a new table."""
    return rng.getrandbits(GRANT_SERIES_BITS) << GRANT_BITS


class InFlightTable:
    """Counts reservations for each upstream.

    Every reservation has a grant number. A router repeats now and then how
    many requests it has in flight on each upstream, with the newest grant
    number that it has seen; this heals lost releases and fills the table of
    a new home.

    :param grant_base: number that the first grant follows; tables that
        follow one another should have far apart ones, so that a number of
        one is never taken for that of another
    """

    def __init__(self, clock: Clock, grant_base: int = 0) -> None:
        self._clock = clock
        self._holders: dict[str, RouterReservations] = {}
        self._heard: dict[str, float] = {}
        self._counts: Counter[str] = Counter()
        self._floors: dict[str, int] = {}
        self._grant_base = grant_base
        self._last_grant = grant_base

    def reserve(self, router: str, upstream: str) -> int:
        """Count one request and return its grant number."""
        self._last_grant += 1
        self._holder(router).grants[self._last_grant] = upstream
        self._counts[upstream] += 1
        return self._last_grant

    def release(self, router: str, grant: int) -> str | None:
        """Uncount a request; harmless when repeated.

        :returns: its upstream, or ``None`` if the grant is not held
        """
        upstream = self._holder(router).grants.pop(grant, None)
        if upstream is not None:
            self._counts[upstream] -= 1
        return upstream

    def reconcile(
        self,
        router: str,
        incarnation: int,
        seen: int,
        counts: Mapping[str, int],
    ) -> list[int]:
        """Take over a router's own count of what it has in flight.

        Grants later than ``seen`` are kept for some seconds, as their answers
        may still have been on the way when the router counted.

        :param incarnation: grows at each start of the router; a report of
            an older one is ignored
        :param seen: newest grant number that the router had received; one
            of another table counts as none
        :returns: the grants that are held no longer
        """
        holder = self._holder(router)
        if incarnation < holder.incarnation:
            return []
        before = holder.counts()
        dropped: list[int] = []
        if holder.is_restart(incarnation):
            dropped = holder.drop(list(holder.grants))
        if seen > self._last_grant or seen < self._grant_base:
            seen = self._grant_base
        now = self._clock.monotonic()
        settled = holder.advance_mark(now, self._last_grant)
        dropped += holder.reconcile(max(seen, settled), counts)
        holder.incarnation = incarnation
        self._heard[router] = now
        self._exchange(before, holder.counts())
        return dropped

    def remove_router(self, router: str) -> list[int]:
        """Uncount all that a router held and return its grants."""
        holder = self._holders.pop(router, RouterReservations())
        self._heard.pop(router, None)
        self._exchange(holder.counts(), Counter())
        return list(holder.grants)

    def record_reported_load(self, upstream: str, reported: int) -> None:
        """Note an upstream's own report as the least it can hold."""
        self._floors[upstream] = reported

    def discard_reported_loads(self) -> None:
        """Drop the upstreams' reports: all routers have been heard."""
        self._floors.clear()

    def last_report_time(self, router: str) -> float | None:
        """Return when the router last reported, in monotonic seconds."""
        return self._heard.get(router)

    def count(self, upstream: str) -> int:
        """Return the requests in flight on one upstream."""
        counted = self._counts[upstream]
        if self._floors:
            return max(counted, self._floors.get(upstream, 0))
        return counted

    def total(self, upstreams: Iterable[str]) -> int:
        """Return the requests in flight on all of them."""
        return sum(self.count(upstream) for upstream in upstreams)

    def _holder(self, router: str) -> RouterReservations:
        return self._holders.setdefault(router, RouterReservations())

    def _exchange(self, before: Counter[str], after: Counter[str]) -> None:
        self._counts.subtract(before)
        self._counts.update(after)
        for upstream in before:
            if self._counts[upstream] <= 0:
                self._counts.pop(upstream)
