"""
bergamotshed.gateway.return_spread
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Spreads the calls that all routers make when the store came back from an older
copy.
"""

__all__ = ('ReturnSpread',)

import random
from collections.abc import Callable
from datetime import timedelta

from .settings import StoreSettings

#: Calls of one router: listings of three topics, of which one may have two
#: pages, and the write of its own entry.
READS = 4
WRITES = 1
#: Share of the store's rates that these calls of all routers may take.
RATE_SHARE = 0.5


class ReturnSpread:
    """Draws the pauses before these calls.

    :param store: has the rates of the store
    :param router_count: returns the number of routers
    """

    def __init__(
        self, store: StoreSettings, router_count: Callable[[], int]
    ) -> None:
        self._seconds_per_router = (
            max(READS / store.reads_per_s, WRITES / store.writes_per_s)
            / RATE_SHARE
        )
        self._router_count = router_count

    @property
    def longest(self) -> timedelta:
        """Return the longest pause; it grows with the number of routers."""
        return timedelta(
            seconds=self._router_count() * self._seconds_per_router
        )

    def draw(self) -> timedelta:
        """Return a pause, drawn evenly up to the longest one."""
        return random.random() * self.longest
