"""
bergamotshed.routing.peer_loads
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How many requests the other routers have on each upstream.
"""

__all__ = ('OwnLoad', 'PeerLoads')

from collections import Counter, OrderedDict
from collections.abc import Mapping, Sequence
from datetime import timedelta

from ..clock import Clock

#: Age at which what a router has said of its requests no longer counts.
LIFETIME = timedelta(milliseconds=1500)

#: An upstream's key and the number of requests of one router there.
OwnLoad = tuple[int, int]


class PeerLoads:
    """Adds up the newest counts of the other routers."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._totals: Counter[int] = Counter()
        self._by_peer: OrderedDict[str, tuple[float, Sequence[OwnLoad]]]
        self._by_peer = OrderedDict()

    def record(self, peer: str, loads: Sequence[OwnLoad]) -> None:
        """Replace the counts of a router."""
        self._forget(peer)
        self._by_peer[peer] = (self._clock.monotonic(), loads)
        for key, count in loads:
            self._totals[key] += count

    @property
    def heard_count(self) -> int:
        """Return how many other routers' counts are known."""
        self._forget_old()
        return len(self._by_peer)

    @property
    def totals(self) -> Mapping[int, int]:
        """Return the requests of all other routers, by the upstream's key."""
        self._forget_old()
        return self._totals

    def total(self, key: int) -> int:
        """Return the requests of all other routers on an upstream."""
        return self.totals.get(key, 0)

    def _forget_old(self) -> None:
        oldest = self._clock.monotonic() - LIFETIME.total_seconds()
        while self._by_peer:
            peer, (received_at, _) = next(iter(self._by_peer.items()))
            if received_at >= oldest:
                return
            self._forget(peer)

    def _forget(self, peer: str) -> None:
        _, loads = self._by_peer.pop(peer, (0, ()))
        for key, count in loads:
            self._totals[key] -= count
            if not self._totals[key]:
                del self._totals[key]
