"""
bergamotshed.routing.router_reservations
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What one router has in flight.
"""

__all__ = ('RouterReservations',)

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

NO_REPORT = -1
TRANSIT_LIMIT_S = 5.0


@dataclass(slots=True)
class RouterReservations:
    """A router's reservations at a home.

    :ivar incarnation: of the router's newest report
    :ivar grants: numbered reservations and their upstreams, oldest first
    :ivar adopted: requests that the router reported and that were granted
        by another home or by itself
    :ivar marked: when ``mark`` was taken, in monotonic seconds
    :ivar mark: the home's newest grant at that time
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
        """Tell whether a report comes from a newer start of the router."""
        return self.incarnation not in {NO_REPORT, incarnation}

    def advance_mark(self, now: float, newest: int) -> int:
        """Return the newest grant whose answer can't be on its way any more.

        :param newest: the home's newest grant
        """
        if now - self.mark_time < TRANSIT_LIMIT_S:
            return 0
        settled = self.mark_grant
        self.mark_time = now
        self.mark_grant = newest
        return settled

    def reconcile(self, seen: int, counts: Mapping[str, int]) -> list[int]:
        """Keep of the grants up to ``seen`` what the counts confirm.

        :returns: the grants that were dropped
        """
        confirmed = Counter(counts)
        dropped: list[int] = []
        settled = [grant for grant in self.grants if grant <= seen]
        for grant in reversed(settled):
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
