"""
bergamotshed.routing.fingerprint_holds
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Fingerprints whose runs wait while another router investigates whether their
upstream crashed.
"""

__all__ = ('FingerprintHolds',)

from collections.abc import Hashable
from datetime import timedelta

from ..clock import Clock

MAX_HOLD_DURATION = timedelta(seconds=1.5)
MAX_HOLDS = 1000


class FingerprintHolds:
    """The held fingerprints, each with the possible crash it waits for."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ends: dict[tuple[int, Hashable], float] = {}

    def add(self, fingerprint: int, crash: Hashable) -> None:
        """Hold a fingerprint until :meth:`lift` or a timeout."""
        end = self._clock.monotonic() + MAX_HOLD_DURATION.total_seconds()
        self._ends[fingerprint, crash] = end
        if len(self._ends) > MAX_HOLDS:
            self._ends.pop(next(iter(self._ends)))

    def lift(self, fingerprint: int, crash: Hashable) -> None:
        """End a hold."""
        self._ends.pop((fingerprint, crash), None)

    def is_held(self, fingerprint: int) -> bool:
        """Return whether any hold on the fingerprint is in force."""
        if not self._ends:
            return False
        now = self._clock.monotonic()
        self._ends = {key: end for key, end in self._ends.items() if end > now}
        return any(key == fingerprint for key, _ in self._ends)
