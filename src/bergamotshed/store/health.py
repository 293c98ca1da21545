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

#: Time without an answer after which others, too, may have been unable to
#: report to the store: half of the three report intervals that an entry
#: survives without a new report.
OUTAGE_AFTER = timedelta(milliseconds=1500)


class StoreHealth:
    """Records failed and answered calls."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._answered_at = -math.inf
        self._is_failing = False
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
        """Record a call without a usable answer."""
        self._calls['failed'] += 1
        self._is_failing = True

    def record_success(self) -> None:
        """Record an answer."""
        self._calls['answered'] += 1
        now = self._clock.boottime()
        silence_s = now - self._answered_at
        if self._is_failing and silence_s > OUTAGE_AFTER.total_seconds():
            self._returned_at = now
        self._is_failing = False
        self._answered_at = now
