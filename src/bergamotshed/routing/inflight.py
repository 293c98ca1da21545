"""
bergamotshed.routing.inflight
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Counts the requests of all routers on each upstream.
"""

__all__ = ('InFlightTable', 'grant_series')

import random
from collections import Counter
from collections.abc import Iterable, Mapping

from ..clock import Clock
from .router_reservations import RouterReservations

#: Bits for the grants of one series and for the series number; together they
#: fit into the 63 bits of a positive integer in a message.
GRANT_BITS = 32
GRANT_SERIES_BITS = 30


def grant_series(rng: random.Random) -> int:
    """Return a random base for the grant numbers of a new table."""
    return rng.getrandbits(GRANT_SERIES_BITS) << GRANT_BITS


class InFlightTable:
    """Counts reservations for each upstream.

    Every reservation has a grant number. Each router periodically reports
    how many requests it has in flight on each upstream, with the newest
    grant number that it has received; this repairs lost releases and fills
    the table of a new home.

    :param grant_base: number before the first grant; successive tables
        should have bases far apart, so that a grant of one is never taken
        for a grant of another
    """

    def __init__(self, clock: Clock, grant_base: int = 0) -> None:
        self._clock = clock
        self._reservations: dict[str, RouterReservations] = {}
        self._report_times: dict[str, float] = {}
        self._counts: Counter[str] = Counter()
        self._min_counts: dict[str, int] = {}
        self._grant_base = grant_base
        self._last_grant = grant_base

    def reserve(self, router: str, upstream: str) -> int:
        """Count one request and return its grant number."""
        self._last_grant += 1
        self._reservations_of(router).grants[self._last_grant] = upstream
        self._counts[upstream] += 1
        return self._last_grant

    def release(self, router: str, grant: int) -> str | None:
        """Release a grant; idempotent.

        :returns: its upstream, or ``None`` if the grant is not open
        """
        upstream = self._reservations_of(router).grants.pop(grant, None)
        if upstream is not None:
            self._counts[upstream] -= 1
        return upstream

    def reconcile(
        self,
        router: str,
        incarnation: int,
        last_seen_grant: int,
        counts: Mapping[str, int],
    ) -> list[int]:
        """Adopt a router's own count of what it has in flight.

        Grants later than ``last_seen_grant`` are kept for some seconds, as
        their answers may still have been in transit when the router counted.

        :param incarnation: grows at each start of the router; reports of
            older ones are ignored
        :param last_seen_grant: newest grant number that the router had
            received; a number of another table counts as none
        :returns: the dropped grants
        """
        reservations = self._reservations_of(router)
        if incarnation < reservations.incarnation:
            return []
        before = reservations.counts()
        dropped: list[int] = []
        if reservations.is_restart(incarnation):
            dropped = reservations.drop(list(reservations.grants))
        if (
            last_seen_grant > self._last_grant
            or last_seen_grant < self._grant_base
        ):
            last_seen_grant = self._grant_base
        now = self._clock.monotonic()
        delivered = reservations.advance_mark(now, self._last_grant)
        dropped += reservations.reconcile(
            max(last_seen_grant, delivered), counts
        )
        reservations.incarnation = incarnation
        self._report_times[router] = now
        self._replace_counts(before, reservations.counts())
        return dropped

    def remove_router(self, router: str) -> list[int]:
        """Drop all reservations of a router and return its grants."""
        reservations = self._reservations.pop(router, RouterReservations())
        self._report_times.pop(router, None)
        self._replace_counts(reservations.counts(), Counter())
        return list(reservations.grants)

    def record_reported_load(self, upstream: str, reported: int) -> None:
        """Use an upstream's own report as the minimum of its count."""
        self._min_counts[upstream] = reported

    def discard_reported_loads(self) -> None:
        """Discard the upstreams' reports once all routers have reported."""
        self._min_counts.clear()

    def last_report_time(self, router: str) -> float | None:
        """Return when the router last reported, in monotonic seconds."""
        return self._report_times.get(router)

    def count(self, upstream: str) -> int:
        """Return the requests in flight on one upstream."""
        counted = self._counts[upstream]
        if self._min_counts:
            return max(counted, self._min_counts.get(upstream, 0))
        return counted

    def total(self, upstreams: Iterable[str]) -> int:
        """Return the requests in flight on all of these upstreams."""
        return sum(self.count(upstream) for upstream in upstreams)

    def _reservations_of(self, router: str) -> RouterReservations:
        return self._reservations.setdefault(router, RouterReservations())

    def _replace_counts(
        self, before: Counter[str], after: Counter[str]
    ) -> None:
        self._counts.subtract(before)
        self._counts.update(after)
        for upstream in before:
            if self._counts[upstream] <= 0:
                self._counts.pop(upstream)
