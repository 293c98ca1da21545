"""
bergamotshed.routing.identical
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Bounds how many runs of identical requests are in flight, so that a request
that crashes upstreams, sent many times at once, crashes no more of them than
one that is sent once.
"""

__all__ = ('IdenticalRuns',)

from collections import Counter, deque
from collections.abc import Collection
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock

#: Upstreams that all runs of one request together may crash.
MAX_CRASHES_PER_REQUEST = 2

#: How long a cut counts as a possible crash; a crash is confirmed by then.
CUT_LIFETIME = timedelta(seconds=3)

UNKNOWN_FINGERPRINT = 0


@dataclass(frozen=True, slots=True)
class _Cut:
    time: float
    fingerprint: int
    upstream: str


class IdenticalRuns:
    """Counts the runs of each fingerprint at one home."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._running: Counter[int] = Counter()
        self._cuts: deque[_Cut] = deque()

    def crashes(self, fingerprint: int, known: Collection[str]) -> int:
        """Return how many crashes the request may have caused.

        :param known: the upstream of each of its known crashes
        """
        possible = {
            cut.upstream
            for cut in self._recent_cuts()
            if cut.fingerprint == fingerprint
        }
        return len(known) + len(possible.difference(known))

    def cut_upstreams(self) -> frozenset[str]:
        """Return the upstreams that recently cut a run of any request."""
        return frozenset(cut.upstream for cut in self._recent_cuts())

    def can_start(self, fingerprint: int, crashes: int) -> bool:
        """Return whether one more run may start.

        :param crashes: how many the request may have caused
        """
        if fingerprint == UNKNOWN_FINGERPRINT:
            return True
        return self._running[fingerprint] + crashes < MAX_CRASHES_PER_REQUEST

    def record_start(self, fingerprint: int) -> None:
        """Record that a run starts."""
        if fingerprint != UNKNOWN_FINGERPRINT:
            self._running[fingerprint] += 1

    def record_end(
        self, fingerprint: int, upstream: str, *, was_cut: bool
    ) -> None:
        """Record that a run ended.

        :param was_cut: its connection broke, perhaps by a crash
        """
        if fingerprint == UNKNOWN_FINGERPRINT:
            return
        self._running[fingerprint] -= 1
        if self._running[fingerprint] <= 0:
            self._running.pop(fingerprint)
        if was_cut:
            now = self._clock.monotonic()
            self._cuts.append(_Cut(now, fingerprint, upstream))

    def _recent_cuts(self) -> deque[_Cut]:
        horizon = self._clock.monotonic() - CUT_LIFETIME.total_seconds()
        while self._cuts and self._cuts[0].time < horizon:
            self._cuts.popleft()
        return self._cuts
