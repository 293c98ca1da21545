"""
bergamotshed.routing.gossip
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Facts about VMs that routers spread in their heartbeats. The router that
observed a fact asserts it anew with each heartbeat; the others relay it with
its age, and drop it once no router asserts it any more.
"""

__all__ = ('Gossip', 'GossipItem')

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock

#: How long a fact is kept after its last assertion: a few heartbeats.
LIFETIME = timedelta(seconds=6)

#: Facts in one heartbeat, at most; the newest take precedence.
MAX_ITEMS = 32


@dataclass(frozen=True, slots=True)
class GossipItem:
    """One fact about a VM.

    :ivar name: the VM
    :ivar origin: the router that observed it
    :ivar age: time since the origin asserted it
    """

    name: str
    origin: str
    age: timedelta = timedelta(0)


class Gossip:
    """Facts of one kind.

    :param node: this router's name
    """

    def __init__(self, node: str, clock: Clock) -> None:
        self._node = node
        self._clock = clock
        self._own: frozenset[str] = frozenset()
        self._received: dict[tuple[str, str], float] = {}

    @property
    def own(self) -> frozenset[str]:
        """Return the names that this router asserts."""
        return self._own

    @property
    def names(self) -> frozenset[str]:
        """Return the names that any router asserts."""
        horizon = self._horizon()
        received = (
            key[0]
            for key, asserted_at in self._received.items()
            if asserted_at > horizon
        )
        return self._own.union(received)

    def assert_own(self, names: Iterable[str]) -> bool:
        """Replace what this router asserts; return whether that changed."""
        before = self._own
        self._own = frozenset(names)
        return before != self._own

    def merge(self, gossip: Iterable[GossipItem]) -> bool:
        """Add the items of a peer; return whether a name was unknown."""
        now = self._clock.monotonic()
        before = self.names
        for item in gossip:
            key = item.name, item.origin
            asserted_at = now - item.age.total_seconds()
            if item.origin != self._node and asserted_at > self._horizon():
                self._received[key] = max(
                    self._received.get(key, asserted_at), asserted_at
                )
        return not self.names <= before

    def origins(self, name: str) -> frozenset[str]:
        """Return the other routers that assert a fact about a VM."""
        horizon = self._horizon()
        return frozenset(
            origin
            for (subject, origin), asserted_at in self._received.items()
            if subject == name and asserted_at > horizon
        )

    def last_asserted(self, name: str) -> float | None:
        """Return when another router last asserted a fact about a VM, in
        monotonic seconds.
        """
        times = (
            asserted_at
            for key, asserted_at in self._received.items()
            if key[0] == name
        )
        return max(times, default=None)

    def expire(self) -> bool:
        """Drop facts that no router asserts any more; return whether there
        were any.
        """
        horizon = self._horizon()
        old = [
            key
            for key, asserted_at in self._received.items()
            if asserted_at <= horizon
        ]
        for key in old:
            del self._received[key]
        return bool(old)

    def export(self) -> tuple[GossipItem, ...]:
        """Return the items to send to peers: own ones, then the newest."""
        now = self._clock.monotonic()
        horizon = self._horizon()
        newest_first = sorted(
            self._received.items(), key=_assertion_time, reverse=True
        )
        relayed = [
            GossipItem(*key, timedelta(seconds=now - asserted_at))
            for key, asserted_at in newest_first
            if asserted_at > horizon
        ]
        asserted = [GossipItem(name, self._node) for name in sorted(self._own)]
        return tuple(asserted + relayed)[:MAX_ITEMS]

    def _horizon(self) -> float:
        return self._clock.monotonic() - LIFETIME.total_seconds()


def _assertion_time(entry: tuple[tuple[str, str], float]) -> float:
    return entry[1]
