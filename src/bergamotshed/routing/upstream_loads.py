"""
bergamotshed.routing.upstream_loads
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What this router knows of the load and the health of each upstream.
"""

__all__ = ('ExchangeOutcome', 'UpstreamLoad', 'UpstreamLoads')

import math
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from ..clock import Clock
from ..upstreams.types import Incarnation, Instance, ReportedLoad

#: First and longest time for which a failing upstream gets no requests while
#: others can take them; it doubles with each failure in a row.
MIN_EJECTION = timedelta(milliseconds=500)
MAX_EJECTION = timedelta(seconds=4)
#: Failures in a row before an upstream that was reached is ejected: a single
#: lost answer says little of the next one.
MAX_TOLERATED_FAILURES = 1
#: Age up to which an upstream's report of its load is used.
REPORT_LIFETIME = timedelta(milliseconds=1500)


class ExchangeOutcome(Enum):
    """How an exchange with an upstream ended, as far as health goes."""

    ANSWERED = 'answered'
    UNREACHED = 'unreached'
    BROKEN = 'broken'
    SILENT = 'silent'
    FULL = 'full'
    ABANDONED = 'abandoned'


_AT_ONCE = frozenset((ExchangeOutcome.UNREACHED, ExchangeOutcome.SILENT))
_FAILURES = _AT_ONCE | {ExchangeOutcome.BROKEN}


@dataclass(slots=True)
class UpstreamLoad:
    """One upstream as seen from here.

    :ivar in_flight: requests of this router that it has
    :ivar reported: running and waiting requests of all routers, by its own
        last answer
    :ivar own_at_report: the part of them that was this router's
    :ivar ejected_until: monotonic seconds
    """

    in_flight: int = 0
    reported: int = 0
    reported_at: float = -math.inf
    own_at_report: int = 0
    full_until: float = 0
    failures: int = 0
    ejected_until: float = 0


class UpstreamLoads:
    """Loads by the upstream's name and start."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._loads: dict[Incarnation, UpstreamLoad] = {}

    def load_of(self, instance: Instance) -> UpstreamLoad:
        """Return the load of an upstream; it starts at nothing."""
        load = self._loads.get(instance.incarnation)
        if load is None:
            load = UpstreamLoad()
            self._loads[instance.incarnation] = load
        return load

    def is_ejected(self, instance: Instance) -> bool:
        """Tell whether an upstream failed too recently to be chosen."""
        return self.load_of(instance).ejected_until > self._clock.monotonic()

    def is_full(self, instance: Instance) -> bool:
        """Tell whether an upstream has just refused for want of room."""
        return self.load_of(instance).full_until > self._clock.monotonic()

    def record_start(self, instance: Instance) -> None:
        """Count a request that is sent to an upstream."""
        self.load_of(instance).in_flight += 1

    def record_end(self, instance: Instance, how: ExchangeOutcome) -> None:
        """Count the end of an exchange and judge the upstream by it."""
        load = self.load_of(instance)
        load.in_flight -= 1
        now = self._clock.monotonic()
        if how is ExchangeOutcome.ANSWERED:
            load.failures = 0
            load.ejected_until = 0
        elif how is ExchangeOutcome.FULL:
            load.full_until = now + MIN_EJECTION.total_seconds() / 2
        elif how in _FAILURES:
            load.failures += 1
            if how in _AT_ONCE or load.failures > MAX_TOLERATED_FAILURES:
                load.ejected_until = now + _ejection(load.failures)

    def record_report(self, instance: Instance, reported: ReportedLoad) -> None:
        """Take an upstream's report of its load."""
        load = self.load_of(instance)
        load.reported = reported.running + reported.waiting
        load.own_at_report = load.in_flight
        load.reported_at = self._clock.monotonic()

    def estimate_load(self, instance: Instance) -> int:
        """Return the requests that an upstream has, by the best estimate.

        What other routers have there is known from its own last answer.
        """
        load = self.load_of(instance)
        age = self._clock.monotonic() - load.reported_at
        if age > REPORT_LIFETIME.total_seconds():
            return load.in_flight
        others = max(0, load.reported - load.own_at_report)
        return load.in_flight + others

    def forget_unlisted(self, instances: list[Instance]) -> None:
        """Forget the idle upstreams that are not among these."""
        kept = {instance.incarnation for instance in instances}
        self._loads = {
            key: load
            for key, load in self._loads.items()
            if key in kept or load.in_flight
        }


def _ejection(failures: int) -> float:
    doubled = MIN_EJECTION.total_seconds() * float(2**failures) / 2
    return min(doubled, MAX_EJECTION.total_seconds())
