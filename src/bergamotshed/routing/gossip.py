"""
bergamotshed.routing.gossip
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Facts about VMs that spread from router to router. Whoever saw a fact with
its own eyes asserts it anew with each heartbeat; the others pass it on with
its age, and forget it once nobody asserts it any more.
"""

__all__ = ('Gossip', 'GossipItem')

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock

#: How long a fact outlives its last assertion; a few heartbeats.
LIFETIME = timedelta(seconds=6)

#: Facts in one heartbeat, at most; the newest go first.
MAX_ITEMS = 32


@dataclass(frozen=True, slots=True)
class GossipItem:
    """One fact about a VM.

    :ivar origin: the router that saw it
    :ivar age: since the origin asserted it
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
        self._told: dict[tuple[str, str], float] = {}

    @property
    def own(self) -> frozenset[str]:
        """Return the names that this router asserts."""
        return self._own

    @property
    def names(self) -> frozenset[str]:
        """Return the names that anybody asserts."""
        horizon = self._horizon()
        told = (key[0] for key, at in self._told.items() if at > horizon)
        return self._own.union(told)

    def assert_own(self, names: Iterable[str]) -> bool:
        """Replace what this router asserts; return whether that is new."""
        before = self._own
        self._own = frozenset(names)
        return before != self._own

    def merge(self, gossip: Iterable[GossipItem]) -> bool:
        """Take what a peer tells; return whether a name was unknown."""
        now = self._clock.monotonic()
        before = self.names
        for item in gossip:
            key = item.name, item.origin
            at = now - item.age.total_seconds()
            if item.origin != self._node and at > self._horizon():
                self._told[key] = max(self._told.get(key, at), at)
        return not self.names <= before

    def origins(self, name: str) -> frozenset[str]:
        """Return the other routers that assert a fact about a VM."""
        horizon = self._horizon()
        return frozenset(
            origin
            for (told, origin), at in self._told.items()
            if told == name and at > horizon
        )

    def last_asserted(self, name: str) -> float | None:
        """Return when another router last asserted it, in monotonic
        seconds.
        """
        moments = (at for key, at in self._told.items() if key[0] == name)
        return max(moments, default=None)

    def expire(self) -> bool:
        """Forget what nobody asserts any more; return whether any was."""
        horizon = self._horizon()
        old = [key for key, at in self._told.items() if at <= horizon]
        for key in old:
            del self._told[key]
        return bool(old)

    def export(self) -> tuple[GossipItem, ...]:
        """Return what to tell the peers, the newest first."""
        now = self._clock.monotonic()
        horizon = self._horizon()
        told = sorted(self._told.items(), key=_moment, reverse=True)
        passed_on = [
            GossipItem(*key, timedelta(seconds=now - at))
            for key, at in told
            if at > horizon
        ]
        asserted = [GossipItem(name, self._node) for name in sorted(self._own)]
        return tuple(asserted + passed_on)[:MAX_ITEMS]

    def _horizon(self) -> float:
        return self._clock.monotonic() - LIFETIME.total_seconds()


def _moment(entry: tuple[tuple[str, str], float]) -> float:
    return entry[1]
