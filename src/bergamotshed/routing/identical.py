"""
bergamotshed.routing.identical
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Bounds how many runs of one and the same request are in flight, so that a
request that crashes upstreams, sent many times at once, crashes no more of
them than one that is sent once.
"""

__all__ = ('IdenticalRuns',)

from collections import Counter, deque
from collections.abc import Collection
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock

#: Upstreams that runs of one request may crash, all together.
LIMIT = 2

#: How long a cut counts as a possible crash; by then it is known for one.
CUT_LIFETIME = timedelta(seconds=3)

UNKNOWN = 0


@dataclass(frozen=True, slots=True)
class _Cut:
    at: float
    fingerprint: int
    upstream: str


class IdenticalRuns:
    """Counts the runs of each fingerprint at one home."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._running: Counter[int] = Counter()
        self._cuts: deque[_Cut] = deque()

    def crashes(self, fingerprint: int, known: Collection[str]) -> int:
        """Return the crashes that may be the request's doing.

        :param known: the upstreams of its known crashes, one for each
        """
        cut = {
            cut.upstream
            for cut in self._late_cuts()
            if cut.fingerprint == fingerprint
        }
        return len(known) + len(cut.difference(known))

    def cut_upstreams(self) -> frozenset[str]:
        """Return the upstreams that lately cut a run of any request."""
        return frozenset(cut.upstream for cut in self._late_cuts())

    def can_start(self, fingerprint: int, crashes: int) -> bool:
        """Tell whether one more run may start.

        :param crashes: that may be its doing
        """
        if fingerprint == UNKNOWN:
            return True
        return self._running[fingerprint] + crashes < LIMIT

    def record_start(self, fingerprint: int) -> None:
        """Count a run."""
        if fingerprint != UNKNOWN:
            self._running[fingerprint] += 1

    def record_end(self, fingerprint: int, upstream: str, *, cut: bool) -> None:
        """Count the end of a run.

        :param cut: its connection broke off, perhaps by a crash
        """
        if fingerprint == UNKNOWN:
            return
        self._running[fingerprint] -= 1
        if self._running[fingerprint] <= 0:
            self._running.pop(fingerprint)
        if cut:
            now = self._clock.monotonic()
            self._cuts.append(_Cut(now, fingerprint, upstream))

    def _late_cuts(self) -> deque[_Cut]:
        oldest = self._clock.monotonic() - CUT_LIFETIME.total_seconds()
        while self._cuts and self._cuts[0].at < oldest:
            self._cuts.popleft()
        return self._cuts
