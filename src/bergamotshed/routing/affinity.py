"""
bergamotshed.routing.affinity
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Chooses the upstream of a routed request.

Every router computes the same rendezvous order of a subject's upstreams, so
that requests with the same shared prompt meet the same cache without a word
between routers. A bound on the load relative to the mean sends the excess of
a subject in demand to the next upstream of its order.
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
#: load plus a constant for small numbers; the least re-read prompts in
#: trials over 1.25 to 1.9, and below the platform's limit of twice the mean.
LOAD_FACTOR = 1.9
LOAD_SLACK = 2.5
#: When to come back when no upstream is listed or reached.
NO_UPSTREAM_RETRY = timedelta(milliseconds=500)
#: When to come back when all have as many requests as they take connections.
ALL_BUSY_RETRY = timedelta(milliseconds=500)


@dataclass(frozen=True, slots=True)
class PlacementQuery:
    """What is known of a request when its upstream is chosen.

    :ivar shared_parts: the parts of its prompt that others begin with too; the
        last one is its subject
    :ivar tried: names of upstreams that it was sent to before
    """

    service: str
    model: str = ''
    shared_parts: tuple[str, ...] = ()
    tried: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class PlacedUpstream:
    """The chosen upstream and why.

    :ivar first_choice: no load or failure displaced the request
    :ivar load: its requests as counted here
    :ivar source: another upstream that has read the subject, where the
        chosen one has not; ``None`` if nothing is known of one
    :ivar is_unread: the chosen one is not known to have read the subject
    :ivar slot: what its home reserved, where slots are few
    """

    instance: Instance
    first_choice: bool
    load: int
    source: Instance | None = None
    is_unread: bool = False
    slot: Placement | None = None


class AffinityPlacer:
    """Places by subject, or by least load where there is none.

    :param most: gives the requests that this router may have at one upstream
        of a service, from the connections that it accepts
    :param domain: this router's failure domain; nearer upstreams go first
        among those with equal load
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
        self._most = max_in_flight
        self._domain = domain
        self._random = random

    def place(self, query: PlacementQuery) -> PlacedUpstream | Refusal:
        """Choose among the listed upstreams."""
        listed = [
            instance
            for instance in self._listed.members(query.service)
            if not instance.models
            or not query.model
            or query.model in instance.models
        ]
        fit = [
            instance for instance in listed if instance.name not in query.tried
        ]
        if not fit:
            return Refusal(
                Reason.NO_ENGINE,
                NO_UPSTREAM_RETRY,
                f'{len(listed)} upstreams listed, none untried',
            )
        most = self._most(query.service)
        open_ones = [
            instance
            for instance in fit
            if self._loads.load_of(instance).in_flight < most
        ]
        if not open_ones:
            return Refusal(
                Reason.OVERLOADED, ALL_BUSY_RETRY, f'all have {most:.0f}'
            )
        return self._choose(query, open_ones)

    def _choose(
        self, query: PlacementQuery, fit: Sequence[Instance]
    ) -> PlacedUpstream:
        healthy = [
            instance for instance in fit if not self._loads.is_ejected(instance)
        ]
        usable = [
            instance
            for instance in healthy or fit
            if not self._loads.is_full(instance)
        ]
        candidates = usable or healthy or fit
        if not query.shared_parts:
            return self._least_loaded(candidates)
        placed = self._by_subject(query.shared_parts[-1], candidates)
        source = self._sources.find(query.shared_parts, placed.instance)
        unread = not self._sources.has_read(query.shared_parts, placed.instance)
        return replace(placed, source=source, is_unread=unread)

    def _by_subject(
        self, subject: str, candidates: Sequence[Instance]
    ) -> PlacedUpstream:
        by_name = {instance.name: instance for instance in candidates}
        order = subject_order(subject, tuple(by_name))
        loads = {
            name: self._loads.estimate_load(instance)
            for name, instance in by_name.items()
        }
        bound = LOAD_FACTOR * sum(loads.values()) / len(loads) + LOAD_SLACK
        for position, name in enumerate(order):
            if loads[name] <= bound:
                return PlacedUpstream(by_name[name], position == 0, loads[name])
        least = min(loads, key=loads.__getitem__)
        return PlacedUpstream(by_name[least], False, loads[least])

    def _least_loaded(self, candidates: Sequence[Instance]) -> PlacedUpstream:
        chosen = min(candidates, key=self._preference)
        return PlacedUpstream(
            chosen, True, self._loads.load_of(chosen).in_flight
        )

    def _preference(self, instance: Instance) -> tuple[float, bool, float]:
        load = self._loads.estimate_load(instance) / instance.slots
        return (load, instance.domain != self._domain, self._random())
