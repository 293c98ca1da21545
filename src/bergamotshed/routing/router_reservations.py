"""
bergamotshed.routing.router_reservations
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The reservations of one router at a home.
"""

__all__ = ('RouterReservations',)

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

#: Incarnation of a router that has not reported yet.
NO_REPORT = -1
#: A grant that is older than this has reached its router or was lost.
TRANSIT_LIMIT_S = 5.0


@dataclass(slots=True)
class RouterReservations:
    """A router's reservations at a home.

    :ivar incarnation: incarnation in the router's newest report
    :ivar grants: numbered reservations and their upstreams, oldest first
    :ivar adopted: requests on each upstream that the router reported and
        that another home, or the router itself, granted
    :ivar mark_time: when ``mark_grant`` was set, in monotonic seconds
    :ivar mark_grant: the home's newest grant at that time
    """

    incarnation: int = NO_REPORT
    mark_time: float = 0
    mark_grant: int = 0
    grants: dict[int, str] = field(default_factory=dict)
    adopted: Counter[str] = field(default_factory=Counter)

    def counts(self) -> Counter[str]:
        """Return the requests in flight on each upstream."""
        return Counter(self.grants.values()) + self.adopted

    def is_restart(self, incarnation: int) -> bool:
        """Return whether a report comes from another start of the router."""
        return self.incarnation not in {NO_REPORT, incarnation}

    def advance_mark(self, now: float, newest: int) -> int:
        """Return the newest grant whose answer is no longer in transit.

        Sets a new mark once the last one is older than the transit limit.

        :param newest: the home's newest grant
        :returns: grant number; 0 before the limit has passed
        """
        if now - self.mark_time < TRANSIT_LIMIT_S:
            return 0
        delivered = self.mark_grant
        self.mark_time = now
        self.mark_grant = newest
        return delivered

    def reconcile(
        self, last_seen_grant: int, counts: Mapping[str, int]
    ) -> list[int]:
        """Drop the grants that the router no longer has in flight.

        Requests without a grant become adopted ones.

        :param last_seen_grant: newest grant that the counts take into account
        :param counts: requests of the router on each upstream
        :returns: the dropped grants
        """
        confirmed = Counter(counts)
        dropped: list[int] = []
        delivered = [grant for grant in self.grants if grant <= last_seen_grant]
        for grant in reversed(delivered):
            upstream = self.grants[grant]
            if confirmed[upstream] > 0:
                confirmed[upstream] -= 1
            else:
                dropped.append(grant)
        self.adopted = +confirmed
        return self.drop(dropped)

    def drop(self, grants: list[int]) -> list[int]:
        """Remove grants and return them."""
        for grant in grants:
            self.grants.pop(grant)
        return grants
