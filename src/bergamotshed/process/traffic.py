"""
bergamotshed.process.traffic
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Counts the bytes of control traffic: everything except the requests of callers
and their answers.
"""

__all__ = ('PeerTraffic', 'Traffic')

from dataclasses import dataclass

from ..clock import Clock


@dataclass(slots=True)
class PeerTraffic:
    """Bytes and messages exchanged with one kind of peer."""

    sent: int = 0
    received: int = 0
    messages: int = 0


class Traffic:
    """Control traffic by kind of peer since the process started."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._started_at = clock.monotonic()
        self._by_peer: dict[str, PeerTraffic] = {}

    @property
    def by_peer(self) -> dict[str, PeerTraffic]:
        """Return the counts by kind of peer."""
        return self._by_peer

    @property
    def total(self) -> int:
        """Return the number of bytes in both directions."""
        return sum(
            count.sent + count.received for count in self._by_peer.values()
        )

    def count(self, peer: str, sent: int, received: int) -> None:
        """Add one exchange of messages.

        :param peer: kind of peer, such as ``routers`` or ``log``
        """
        traffic = self._by_peer.setdefault(peer, PeerTraffic())
        traffic.sent += sent
        traffic.received += received
        traffic.messages += 1

    def rate(self) -> float:
        """Return the mean bytes per second since the start."""
        elapsed = self._clock.monotonic() - self._started_at
        return self.total / max(elapsed, 1)
