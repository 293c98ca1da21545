"""
bergamotshed.upstreams.reach
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Whether this router has a way to the upstreams at all.

An upstream that can't be connected to may have failed. If no upstream of a
service can be connected to, the fault is more likely this router's own, and its
peers may still reach them.
"""

__all__ = ('UpstreamReach',)

import math
from collections.abc import Collection, Iterable
from datetime import timedelta

from ..clock import Clock
from .types import Instance

#: Upstreams of a service that must have failed, if it has as many.
MIN_FAILED = 8
#: Age from which on a failed connection says nothing any more.
FAILURE_LIFETIME = timedelta(seconds=5)


class UpstreamReach:
    """Remembers by address when connecting last succeeded and failed."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._reached_at: dict[str, float] = {}
        self._failed_at: dict[str, float] = {}

    def record_reached(self, address: str) -> None:
        """Record that a connection was opened."""
        self._reached_at[address] = self._clock.boottime()
        self._failed_at.pop(address, None)

    def record_unreached(self, address: str) -> None:
        """Record that a connection could not be opened."""
        self._failed_at[address] = self._clock.boottime()

    def is_lost(self, upstreams: Collection[Instance]) -> bool:
        """Return whether this router has no way to the upstreams of a service.

        Each of them, or several, could not be connected to, and since the
        first of these failures no other could.
        """
        needed = min(len(upstreams), MIN_FAILED)
        return 0 < needed <= self._count_failed(upstreams)

    def is_suspect(self, upstreams: Collection[Instance]) -> bool:
        """Return whether an upstream of a service could not be connected to,
        and no other could since.
        """
        return self._count_failed(upstreams) > 0

    def by_last_failure(self, upstreams: Iterable[Instance]) -> list[Instance]:
        """Return the upstreams, those that never failed first, the one that
        failed last at the end.
        """
        return sorted(
            upstreams,
            key=lambda instance: self._failed_at.get(
                instance.address, -math.inf
            ),
        )

    def _count_failed(self, upstreams: Collection[Instance]) -> int:
        """Return how many failed since one of them was last reached."""
        if not self._failed_at:
            return 0
        addresses = {instance.address for instance in upstreams}
        reached_at = max(
            (self._reached_at.get(each, -math.inf) for each in addresses),
            default=-math.inf,
        )
        expired_at = self._clock.boottime() - FAILURE_LIFETIME.total_seconds()
        return sum(
            self._failed_at.get(each, -math.inf) > max(reached_at, expired_at)
            for each in addresses
        )

    def forget_unlisted(self, upstreams: Iterable[Instance]) -> None:
        """Forget the addresses that are not among the listed upstreams'."""
        listed = {instance.address for instance in upstreams}
        for known in (self._reached_at, self._failed_at):
            for address in known.keys() - listed:
                del known[address]
