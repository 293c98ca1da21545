"""
bergamotshed.store.health
~~~~~~~~~~~~~~~~~~~~~~~~~

Whether the store answers, over all topics that are followed.
"""

__all__ = ('RETURN_WINDOW', 'StoreHealth')

import asyncio
import math
from collections import Counter
from collections.abc import Mapping
from datetime import timedelta

from ..clock import Clock

#: Time without an answer after which others, too, may have been unable to
#: report to the store: half of the three report intervals that an entry
#: survives without a new report.
OUTAGE_AFTER = timedelta(milliseconds=1500)
#: How long after an outage, or a return from an older copy, an entry may be
#: missing before its owner has written it again; the platform guarantees about
#: two seconds.
RETURN_WINDOW = timedelta(milliseconds=2200)


class StoreHealth:
    """Records failed and answered calls."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._answered_at = -math.inf
        self._is_failing = False
        self._returned_at = -math.inf
        self._era: int | None = None
        self._era_changed = asyncio.Event()
        self._has_listed = False
        self._return_count = 0
        self._calls = Counter({'answered': 0, 'failed': 0})

    @property
    def calls(self) -> Mapping[str, int]:
        """Return the calls by outcome since the start."""
        return self._calls

    @property
    def return_count(self) -> int:
        """Return how often the store came back from an older copy."""
        return self._return_count

    @property
    def outage_ended_at(self) -> float:
        """Return the boot time at which the last outage ended or the store
        came back from an older copy; minus infinity before the first time.
        """
        return self._returned_at

    def record_era(self, era: int | None) -> None:
        """Record the era of a listing."""
        is_return = self._has_listed and era != self._era
        self._era = era
        self._has_listed = True
        if is_return:
            self._return_count += 1
            self._returned_at = self._clock.boottime()
            self._era_changed.set()
            self._era_changed = asyncio.Event()

    async def wait_for_other_era(self, era: int | None) -> None:
        """Wait until a listing of any topic is of another era."""
        while self._era == era:
            await self._era_changed.wait()

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
