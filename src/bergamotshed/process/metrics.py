"""
bergamotshed.process.metrics
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

OpenTelemetry metrics in the Prometheus text format. Most values are observed
only when they are scraped, so they cost nothing on the request path.
"""

__all__ = ('Histogram', 'Meters', 'Sample')

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

SCOPE = 'bergamotshed'


@dataclass(frozen=True, slots=True)
class Sample:
    """One observed value.

    :ivar labels: distinguish it from other samples of the metric
    """

    value: float
    labels: Mapping[str, str] = field(default_factory=dict)


ObserveCallback = Callable[[], Iterable[Sample]]


class Histogram(Protocol):
    """Records single measurements."""

    def record(
        self, amount: float, attributes: Mapping[str, str] | None = None
    ) -> None:
        """Add one measurement."""


class Meters:
    """Declares the metrics of one process and exposes them.

    :param name: name of the process
    """

    def __init__(self, name: str) -> None:
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(registry=self._registry)
        self._provider = MeterProvider(
            [reader],
            resource=Resource(
                {'service.name': SCOPE, 'service.instance.id': name}
            ),
            shutdown_on_exit=False,
        )
        self._meter = self._provider.get_meter(SCOPE)

    def counter(
        self, name: str, unit: str, description: str, observe: ObserveCallback
    ) -> None:
        """Declare a counter.

        :param observe: returns the current samples
        """
        self._meter.create_observable_counter(
            name, [partial(_observations, observe)], unit, description
        )

    def gauge(
        self, name: str, unit: str, description: str, observe: ObserveCallback
    ) -> None:
        """Declare a gauge.

        :param observe: returns the current samples
        """
        self._meter.create_observable_gauge(
            name, [partial(_observations, observe)], unit, description
        )

    def histogram(
        self, name: str, unit: str, description: str, bounds: Sequence[float]
    ) -> Histogram:
        """Declare a histogram.

        :param bounds: upper bounds of its buckets
        """
        return self._meter.create_histogram(
            name,
            unit,
            description,
            explicit_bucket_boundaries_advisory=bounds,
        )

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Stop collecting."""
        self._provider.shutdown()


def _observations(
    observe: ObserveCallback, _options: CallbackOptions
) -> list[Observation]:
    return [
        Observation(sample.value, dict(sample.labels)) for sample in observe()
    ]
