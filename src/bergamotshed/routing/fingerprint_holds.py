"""
bergamotshed.routing.fingerprint_holds
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Requests that another router is looking into: they wait until it has said
whether their upstream crashed.
"""

__all__ = ('FingerprintHolds',)

from collections.abc import Hashable
from datetime import timedelta

from ..clock import Clock

MAX_HOLD_DURATION = timedelta(seconds=1.5)
MAX_HOLDS = 1000


class FingerprintHolds:
    """Fingerprints and the possible crashes that they wait for."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ends: dict[tuple[int, Hashable], float] = {}

    def add(self, fingerprint: int, crash: Hashable) -> None:
        """Hold a fingerprint until :meth:`lift`, or for a short time."""
        end = self._clock.monotonic() + MAX_HOLD_DURATION.total_seconds()
        self._ends[fingerprint, crash] = end
        if len(self._ends) > MAX_HOLDS:
            self._ends.pop(next(iter(self._ends)))

    def lift(self, fingerprint: int, crash: Hashable) -> None:
        """End a hold."""
        self._ends.pop((fingerprint, crash), None)

    def is_held(self, fingerprint: int) -> bool:
        """Tell whether a hold on the fingerprint is left."""
        if not self._ends:
            return False
        now = self._clock.monotonic()
        self._ends = {key: end for key, end in self._ends.items() if end > now}
        return any(held == fingerprint for held, _ in self._ends)
