"""
bergamotshed.routing.affinity
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Chooses the upstream of a routed request.

Every router computes the same rendezvous order of a subject's upstreams, so
that requests with the same shared prompt reach the same prefix cache without
any messages between routers. A bound on the load relative to the mean sends
the excess of a popular subject to the next upstream of its order.
"""

__all__ = ('AffinityPlacer', 'PlacedUpstream', 'PlacementQuery')

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from datetime import timedelta

from ..reasons import Reason, Refusal
from ..upstreams.types import Instance
from .cache_source import CacheSources, ListedUpstreams, subject_order
from .types import Placement
from .upstream_loads import UpstreamLoads

#: An upstream takes a subject's requests up to this multiple of the mean
#: load, plus slack for small loads. Of factors from 1.25 to 1.9 this one has
#: the fewest prompts read again; the platform's limit is twice the mean.
LOAD_FACTOR = 1.9
LOAD_SLACK_REQUESTS = 2.5
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
    :ivar mean_load: mean of the estimates by which the load was judged;
        ``None`` if it was not
    :ivar source: another upstream that has probably read parts of the prompt
        that the chosen one has not; ``None`` if none is known
    :ivar is_unread: the chosen one is not known to have read the subject
    :ivar slot: reservation made by its home, for services with few slots
    """

    instance: Instance
    first_choice: bool
    load: int
    source: Instance | None = None
    is_unread: bool = False
    slot: Placement | None = None
    mean_load: float | None = None


class AffinityPlacer:
    """Places by subject, or by least load where there is none.

    :param max_in_flight: returns the maximum number of requests that this
        router may have on one upstream of a service, which follows from
        the connections that the upstream accepts
    :param domain: this router's failure domain; its upstreams are
        preferred among those with equal load
    """

    def __init__(
        self,
        listed: ListedUpstreams,
        loads: UpstreamLoads,
        sources: CacheSources,
        max_in_flight: Callable[[str], float],
        domain: str,
        random: Callable[[], float],
    ) -> None:
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
        healthy = [
            instance
            for instance in available
            if not self._loads.is_ejected(instance)
        ]
        usable = [
            instance
            for instance in healthy or available
            if not self._loads.is_full(instance)
        ]
        candidates = usable or healthy or available
        if not query.shared_parts:
            return self._place_by_load(candidates)
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
        loads = {
            name: self._loads.estimate_load(instance)
            for name, instance in by_name.items()
        }
        mean = sum(loads.values()) / len(loads)
        bound = LOAD_FACTOR * mean + LOAD_SLACK_REQUESTS
        least = min(loads, key=loads.__getitem__)
        chosen = next((name for name in order if loads[name] <= bound), least)
        return PlacedUpstream(
            by_name[chosen], chosen == order[0], loads[chosen], mean_load=mean
        )

    def _place_by_load(self, candidates: Sequence[Instance]) -> PlacedUpstream:
        chosen = min(candidates, key=self._load_order)
        return PlacedUpstream(chosen, True, self._loads.estimate_load(chosen))

    def _load_order(self, instance: Instance) -> tuple[float, bool, float]:
        load = self._loads.estimate_load(instance) / instance.slots
        return (load, instance.domain != self._domain, self._random())


def _of_version(query: PlacementQuery) -> str:
    return '' if query.version is None else f' of version {query.version!r}'
