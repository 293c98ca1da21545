"""
bergamotshed.routing.load_home
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Counts the requests of all routers on some upstreams.

In a large fleet each router sees a small part of the requests, and what it
hears of the others is too old to keep the load bound of a popular upstream.
There each upstream has a home among the routers, which grants every request.
"""

__all__ = ('LoadHome', 'needs_load_homes')

import heapq
from collections.abc import Iterable
from datetime import timedelta

from ..clock import Clock
from .inflight import InFlightTable
from .types import LoadGrant

#: Routers from which on upstreams have homes. Fewer routers hear of most
#: requests in time, unless one prompt is very popular.
MIN_ROUTERS = 9


def needs_load_homes(router_count: int) -> bool:
    """Return whether requests are granted by the homes of upstreams."""
    return router_count >= MIN_ROUTERS


class LoadHome:
    """Grants requests on the upstreams that have this router as their home.

    :param grant_base: grants are numbered from here, so that a release for
        another home frees nothing
    """

    def __init__(self, clock: Clock, grant_base: int = 0) -> None:
        self._clock = clock
        self._table = InFlightTable(clock, grant_base)
        self._expirations: list[tuple[float, int, str]] = []

    def grant(
        self,
        router: str,
        upstream: str,
        bound: float,
        lifetime: timedelta,
        min_count: int = 0,
    ) -> LoadGrant:
        """Grant a request unless the upstream has more than the bound.

        :param bound: number of requests there
        :param lifetime: time after which the grant ends if it is not released
        :param min_count: requests there that are known from elsewhere, such as
            those that a former home granted
        """
        self._expire()
        in_flight = max(self._table.count(upstream), min_count)
        if in_flight > bound:
            return LoadGrant(0, in_flight)
        number = self._table.reserve(router, upstream)
        expires_at = self._clock.monotonic() + lifetime.total_seconds()
        heapq.heappush(self._expirations, (expires_at, number, router))
        return LoadGrant(number, in_flight)

    def release(self, router: str, number: int) -> None:
        """Release a grant; idempotent."""
        self._table.release(router, number)

    def release_routers(self, routers: Iterable[str]) -> None:
        """Release all grants of these routers."""
        for router in routers:
            self._table.remove_router(router)

    def count(self, upstream: str) -> int:
        """Return how many open grants an upstream has."""
        self._expire()
        return self._table.count(upstream)

    def _expire(self) -> None:
        """Release grants after their lifetime, in case a release was lost."""
        now = self._clock.monotonic()
        while self._expirations and self._expirations[0][0] < now:
            _, number, router = heapq.heappop(self._expirations)
            self._table.release(router, number)
