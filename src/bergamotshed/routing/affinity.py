"""
bergamotshed.routing.affinity
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Chooses the upstream of a routed request.

Every router computes the same rendezvous order of a subject's upstreams, so
that requests with the same shared prompt reach the same prefix cache without
any messages between routers. A bound on the load relative to the mean sends
the excess of a popular subject to the next upstream of its order.
"""

__all__ = (
    'AffinityPlacer',
    'PlacedUpstream',
    'PlacementQuery',
    'load_bound',
)

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from datetime import timedelta

from ..reasons import Reason, Refusal
from ..upstreams.types import Instance
from .cache_source import CacheSources, ListedUpstreams, subject_order
from .load_home import needs_load_homes
from .types import LoadGrant, Placement
from .upstream_loads import UpstreamLoads

#: An upstream takes a subject's requests up to this multiple of the mean
#: load, plus slack for small loads. Of factors from 1.25 to 1.9 this one has
#: the fewest prompts read again; the platform's limit is twice the mean.
LOAD_FACTOR = 1.9
LOAD_SLACK_REQUESTS = 2.5
#: Upstreams that are compared for a request without a shared prompt while many
#: routers choose by the same old counts: all of them would choose the least
#: loaded one of all until they hear of each other's requests.
SAMPLE_SIZE = 2
#: Retry delay when no listed upstream is left to try.
NO_UPSTREAM_RETRY_AFTER = timedelta(milliseconds=500)
#: Retry delay when all upstreams have as many requests as they accept
#: connections.
ALL_BUSY_RETRY_AFTER = timedelta(milliseconds=500)


@dataclass(frozen=True, slots=True)
class PlacementQuery:
    """The properties of a request that determine its upstream.

    :ivar shared_parts: leading parts of the prompt that are shared with
        other requests; the last one is the subject
    :ivar tried: names of the upstreams that it was already sent to
    :ivar barred: names of the upstreams that take no request now
    :ivar version: the only software version that may run it; ``None`` for any
    """

    service: str
    model: str = ''
    shared_parts: tuple[str, ...] = ()
    tried: frozenset[str] = frozenset()
    barred: frozenset[str] = frozenset()
    version: str | None = None

    def allows(self, instance: Instance) -> bool:
        """Return whether an upstream's version and models may run it."""
        if self.version is not None and instance.version != self.version:
            return False
        return (
            not instance.models
            or not self.model
            or self.model in instance.models
        )


@dataclass(frozen=True, slots=True)
class PlacedUpstream:
    """The chosen upstream.

    :ivar first_choice: no load or failure displaced the request
    :ivar load: requests on the upstream, as estimated by this router
    :ivar mean_load: estimated mean of its service; ``None`` if it was not
        compared with the mean
    :ivar source: another upstream that has probably read parts of the prompt
        that the chosen one has not; ``None`` if none is known
    :ivar is_unread: the chosen one is not known to have read the subject
    :ivar slot: reservation made by its home, for services with few slots
    :ivar grant: grant of the upstream's home, in large fleets
    """

    instance: Instance
    first_choice: bool
    load: int
    source: Instance | None = None
    is_unread: bool = False
    slot: Placement | None = None
    mean_load: float | None = None
    grant: LoadGrant | None = None


class AffinityPlacer:
    """Places by subject, or by least load where there is none.

    :param max_in_flight: returns the maximum number of requests that this
        router may have on one upstream of a service, which follows from
        the connections that the upstream accepts
    :param router_count: returns the number of live routers
    :param domain: this router's failure domain; its upstreams are
        preferred among those with equal load
    """

    def __init__(
        self,
        listed: ListedUpstreams,
        loads: UpstreamLoads,
        sources: CacheSources,
        max_in_flight: Callable[[str], float],
        router_count: Callable[[], int],
        domain: str,
        random: Callable[[], float],
    ) -> None:
        self._router_count = router_count
        self._listed = listed
        self._loads = loads
        self._sources = sources
        self._max_in_flight = max_in_flight
        self._domain = domain
        self._random = random

    def place(self, query: PlacementQuery) -> PlacedUpstream | Refusal:
        """Choose among the listed upstreams."""
        listed = [
            instance
            for instance in self._listed.members(query.service)
            if query.allows(instance)
        ]
        untried = [
            instance for instance in listed if instance.name not in query.tried
        ]
        if not untried:
            return Refusal(
                Reason.NO_ENGINE,
                NO_UPSTREAM_RETRY_AFTER,
                f'{len(listed)} upstreams listed{_of_version(query)}, '
                'none untried',
            )
        limit = self._max_in_flight(query.service)
        available = [
            instance
            for instance in untried
            if instance.name not in query.barred
            and self._loads.load_of(instance).in_flight < limit
        ]
        if not available:
            return Refusal(
                Reason.OVERLOADED,
                ALL_BUSY_RETRY_AFTER,
                f'all have {limit:.0f} or are at the rate that they take',
            )
        return self._choose(query, available)

    def _choose(
        self, query: PlacementQuery, available: Sequence[Instance]
    ) -> PlacedUpstream:
        candidates = available
        for is_unsuitable in (
            self._loads.is_ejected,
            self._loads.is_full,
            self._loads.is_crowded,
        ):
            suitable = [
                instance
                for instance in candidates
                if not is_unsuitable(instance)
            ]
            candidates = suitable or candidates
        if not query.shared_parts:
            return self._place_by_load(query, candidates)
        return self.with_source(
            query, self._place_by_subject(query, candidates)
        )

    def with_source(
        self, query: PlacementQuery, placed: PlacedUpstream
    ) -> PlacedUpstream:
        """Add from where the upstream may copy the prompt's cache."""
        if not query.shared_parts:
            return placed
        source = self._sources.find(query.shared_parts, placed.instance)
        is_unread = not self._sources.has_read(
            query.shared_parts, placed.instance
        )
        return replace(placed, source=source, is_unread=is_unread)

    def _place_by_subject(
        self, query: PlacementQuery, candidates: Sequence[Instance]
    ) -> PlacedUpstream:
        by_name = {instance.name: instance for instance in candidates}
        order = subject_order(query.shared_parts[-1], tuple(by_name))
        if query.barred:
            # What a limited upstream does not take goes to one that has the
            # prompt already, in place of a different one each time.
            order = tuple(
                sorted(
                    order,
                    key=lambda name: (
                        not self._sources.has_read(
                            query.shared_parts, by_name[name]
                        )
                    ),
                )
            )
        mean = self._mean_load(query, candidates)
        bound = load_bound(mean)
        preferred = (by_name[name] for name in order)
        estimate = self._loads.estimate_load
        chosen = next(
            (instance for instance in preferred if estimate(instance) <= bound),
            None,
        ) or min(candidates, key=estimate)
        return PlacedUpstream(
            chosen, chosen.name == order[0], estimate(chosen), mean_load=mean
        )

    def _place_by_load(
        self, query: PlacementQuery, candidates: Sequence[Instance]
    ) -> PlacedUpstream:
        if needs_load_homes(self._router_count()):
            candidates = sorted(candidates, key=self._random_order)
            candidates = candidates[:SAMPLE_SIZE]
        chosen = min(candidates, key=self._load_order)
        return PlacedUpstream(
            chosen,
            True,
            self._loads.estimate_load(chosen),
            mean_load=self._mean_load(query, candidates),
        )

    def _mean_load(
        self, query: PlacementQuery, candidates: Sequence[Instance]
    ) -> float:
        router_count = self._router_count()
        if needs_load_homes(router_count):
            members = self._listed.members(query.service)
            return self._loads.mean_load(members, router_count)
        loads = map(self._loads.estimate_load, candidates)
        return sum(loads) / len(candidates)

    def _random_order(self, _instance: Instance) -> float:
        return self._random()

    def _load_order(self, instance: Instance) -> tuple[float, bool, float]:
        load = self._loads.estimate_load(instance) / instance.slots
        return (load, instance.domain != self._domain, self._random())


def load_bound(mean: float) -> float:
    """Return how many requests an upstream may have to get another one.

    :param mean: mean load of the upstreams of its service
    """
    return LOAD_FACTOR * mean + LOAD_SLACK_REQUESTS


def _of_version(query: PlacementQuery) -> str:
    return '' if query.version is None else f' of version {query.version!r}'
