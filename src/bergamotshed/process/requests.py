"""
bergamotshed.process.requests
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Metrics of routed requests: outcome and duration.
"""

__all__ = ('RequestMetrics',)

from collections import Counter
from collections.abc import Iterable

from .metrics import Meters, Sample

#: Upper bounds of the latency histogram: dense around the target latencies of
#: a few hundred milliseconds, up to the longest timeouts.
LATENCY_BOUNDS_S = (0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3, 6, 12)


class RequestMetrics:
    """The counter and the histogram of routed requests."""

    def __init__(self, meters: Meters) -> None:
        self._counts: Counter[str] = Counter()
        meters.counter(
            'bergamotshed_requests',
            '1',
            'Routed requests by how they ended',
            self._samples,
        )
        self._latency = meters.histogram(
            'bergamotshed_request_seconds',
            's',
            'Time from the arrival of a routed request to its end',
            LATENCY_BOUNDS_S,
        )

    @property
    def totals(self) -> dict[str, int]:
        """Return the number of requests by outcome."""
        return dict(self._counts)

    def record_request(self, outcome: str, seconds: float) -> None:
        """Record the outcome and duration of one request."""
        self._counts[outcome] += 1
        self._latency.record(seconds)

    def _samples(self) -> Iterable[Sample]:
        return [
            Sample(count, {'outcome': outcome})
            for outcome, count in self._counts.items()
        ]
