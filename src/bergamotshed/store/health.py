"""
bergamotshed.store.health
~~~~~~~~~~~~~~~~~~~~~~~~~

Whether the store answers, over all topics that are followed.
"""

__all__ = ('StoreHealth',)

import math
from collections import Counter
from collections.abc import Mapping
from datetime import timedelta

from ..clock import Clock

#: Time without an answer from which on others may have failed to report to
#: the store, too: half of the three reports that an entry survives.
OUTAGE_AFTER = timedelta(milliseconds=1500)


class StoreHealth:
    """Notes failed and answered calls."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._answered_at = -math.inf
        self._failing = False
        self._returned_at = -math.inf
        self._calls = Counter({'answered': 0, 'failed': 0})

    @property
    def calls(self) -> Mapping[str, int]:
        """Return the calls by outcome since the start."""
        return self._calls

    @property
    def outage_ended_at(self) -> float:
        """Return the boot time at which the last outage ended; minus
        infinity before the first one.
        """
        return self._returned_at

    def record_failure(self) -> None:
        """Note a call without a usable answer."""
        self._calls['failed'] += 1
        self._failing = True

    def record_success(self) -> None:
        """Note an answer."""
        self._calls['answered'] += 1
        now = self._clock.boottime()
        silent = now - self._answered_at
        if self._failing and silent > OUTAGE_AFTER.total_seconds():
            self._returned_at = now
        self._failing = False
        self._answered_at = now
