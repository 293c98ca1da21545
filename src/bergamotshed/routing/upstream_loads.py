"""
bergamotshed.routing.upstream_loads
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The load and the health of each upstream, as known to this router.
"""

__all__ = (
    'ExchangeOutcome',
    'UpstreamLoad',
    'UpstreamLoads',
    'upstream_key',
)

import heapq
import math
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from functools import lru_cache
from operator import itemgetter

from ..clock import Clock
from ..upstreams.types import Incarnation, Instance, ReportedLoad
from .hashing import stable_hash
from .peer_loads import OwnLoad, PeerLoads
from .types import LoadGrant

#: A failing upstream gets no requests for this time while others can take
#: them; the time doubles with each consecutive failure, up to the maximum.
MIN_EJECTION = timedelta(milliseconds=500)
MAX_EJECTION = timedelta(seconds=4)
#: Consecutive failures that don't eject an upstream that was reached: a single
#: lost answer doesn't predict the next one.
MAX_TOLERATED_FAILURES = 1
#: How long an upstream is avoided after its home has denied a request.
CROWDED_TIME = timedelta(milliseconds=100)
#: Maximum age at which an upstream's report of its load is used.
REPORT_LIFETIME = timedelta(milliseconds=1500)
#: Upstreams whose counts a router tells its peers; seven bytes each.
MAX_OWN_LOADS = 16
#: Keys have four bytes.
KEY_RANGE = 1 << 32
KEY_CACHE_SIZE = 4096


class ExchangeOutcome(Enum):
    """How an exchange with an upstream ended, with regard to its health."""

    ANSWERED = 'answered'
    UNREACHED = 'unreached'
    BROKEN = 'broken'
    SILENT = 'silent'
    FULL = 'full'
    ABANDONED = 'abandoned'


_EJECT_AT_ONCE = frozenset((ExchangeOutcome.UNREACHED, ExchangeOutcome.SILENT))
_FAILURES = _EJECT_AT_ONCE | {ExchangeOutcome.BROKEN}


@dataclass(slots=True)
class UpstreamLoad:
    """The load and health of one upstream.

    :ivar key: names the upstream in messages between routers
    :ivar in_flight: requests of this router on the upstream
    :ivar reported: running and waiting requests of all routers, from the
        upstream's newest report
    :ivar reported_at: when it was received, in monotonic seconds
    :ivar own_at_report: requests of this router at that time
    :ivar full_until: in monotonic seconds
    :ivar crowded_until: in monotonic seconds
    :ivar failures: consecutive failures
    :ivar ejected_until: in monotonic seconds
    """

    key: int = 0
    in_flight: int = 0
    reported: int = 0
    reported_at: float = -math.inf
    own_at_report: int = 0
    full_until: float = 0
    crowded_until: float = 0
    failures: int = 0
    ejected_until: float = 0


class UpstreamLoads:
    """Loads by the upstream's incarnation.

    :ivar peers: the requests of the other routers, as they say themselves
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._loads: dict[Incarnation, UpstreamLoad] = {}
        self.peers = PeerLoads(clock)

    @property
    def own(self) -> tuple[OwnLoad, ...]:
        """Return the counts of this router that others should know, at most
        those of the upstreams on which it has most requests.
        """
        counts = (
            (load.key, load.in_flight)
            for load in self._loads.values()
            if load.in_flight
        )
        return tuple(heapq.nlargest(MAX_OWN_LOADS, counts, key=itemgetter(1)))

    def load_of(self, instance: Instance) -> UpstreamLoad:
        """Return the load of an upstream, created on first use."""
        load = self._loads.get(instance.incarnation)
        if load is None:
            load = UpstreamLoad(upstream_key(instance.incarnation))
            self._loads[instance.incarnation] = load
        return load

    def is_ejected(self, instance: Instance) -> bool:
        """Return whether an upstream failed too recently to be chosen."""
        return self.load_of(instance).ejected_until > self._clock.monotonic()

    def is_full(self, instance: Instance) -> bool:
        """Return whether an upstream has just refused a request as full."""
        return self.load_of(instance).full_until > self._clock.monotonic()

    def is_crowded(self, instance: Instance) -> bool:
        """Return whether an upstream was just found above the load bound."""
        return self.load_of(instance).crowded_until > self._clock.monotonic()

    def record_start(self, instance: Instance) -> None:
        """Count a request that is sent to an upstream."""
        self.load_of(instance).in_flight += 1

    def record_end(self, instance: Instance, outcome: ExchangeOutcome) -> None:
        """Record an exchange and update the upstream's health."""
        load = self.load_of(instance)
        load.in_flight -= 1
        now = self._clock.monotonic()
        if outcome is ExchangeOutcome.ANSWERED:
            load.failures = 0
            load.ejected_until = 0
        elif outcome is ExchangeOutcome.FULL:
            load.full_until = now + MIN_EJECTION.total_seconds() / 2
        elif outcome in _FAILURES:
            load.failures += 1
            if (
                outcome in _EJECT_AT_ONCE
                or load.failures > MAX_TOLERATED_FAILURES
            ):
                load.ejected_until = now + _ejection_s(load.failures)

    def record_report(self, instance: Instance, reported: ReportedLoad) -> None:
        """Record an upstream's report of its load."""
        load = self.load_of(instance)
        load.reported = reported.running + reported.waiting
        load.own_at_report = load.in_flight
        load.reported_at = self._clock.monotonic()

    def record_grant(self, instance: Instance, grant: LoadGrant) -> None:
        """Record how many requests its home has counted on an upstream."""
        load = self.load_of(instance)
        now = self._clock.monotonic()
        load.reported = grant.in_flight
        load.own_at_report = load.in_flight
        load.reported_at = now
        if not grant.is_granted:
            load.crowded_until = now + CROWDED_TIME.total_seconds()

    def counted_load(self, upstream: Incarnation) -> int:
        """Return the requests on an upstream of which the routers told each
        other.
        """
        load = self._loads.get(upstream)
        own_count = 0 if load is None else load.in_flight
        return own_count + self.peers.total(upstream_key(upstream))

    def mean_load(
        self, instances: Sequence[Instance], router_count: int
    ) -> float:
        """Return an estimate of the mean load of a service's upstreams.

        :param instances: its upstreams; not empty
        :param router_count: number of routers, including those whose counts
            are not known
        """
        loads = map(self.load_of, instances)
        peer_totals = self.peers.totals
        total = sum(
            load.in_flight + peer_totals.get(load.key, 0) for load in loads
        )
        heard_count = self.peers.heard_count + 1
        unheard_factor = max(1, router_count / heard_count)
        return total * unheard_factor / len(instances)

    def estimate_load(self, instance: Instance) -> int:
        """Return an estimate of the requests on an upstream.

        The requests of other routers are taken from its newest report and from
        what they say; each may lag, so the larger number counts.
        """
        load = self.load_of(instance)
        others = self.peers.total(load.key)
        age = self._clock.monotonic() - load.reported_at
        if age <= REPORT_LIFETIME.total_seconds():
            others = max(others, load.reported - load.own_at_report)
        return load.in_flight + others

    def forget_unlisted(self, instances: list[Instance]) -> None:
        """Forget the idle upstreams that are not among the listed ones."""
        listed = {instance.incarnation for instance in instances}
        self._loads = {
            key: load
            for key, load in self._loads.items()
            if key in listed or load.in_flight
        }


def _ejection_s(failures: int) -> float:
    doubled = MIN_EJECTION.total_seconds() * float(2**failures) / 2
    return min(doubled, MAX_EJECTION.total_seconds())


@lru_cache(maxsize=KEY_CACHE_SIZE)
def upstream_key(upstream: Incarnation) -> int:
    """Return the key that names an upstream in messages."""
    name, born = upstream
    return stable_hash('upstream', name, str(born)) % KEY_RANGE
