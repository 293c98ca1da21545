"""
bergamotshed.routing.pools
~~~~~~~~~~~~~~~~~~~~~~~~~~

Which upstreams may take a request now, and how many requests each may hold.
"""

__all__ = ('Members', 'PoolBuilder')

import math
from collections.abc import Collection

from ..fleet import Service
from .bound import capacity
from .inflight import InFlightTable
from .policies import Pool
from .readiness import AlwaysReady, Readiness
from .types import PlacementRequest, Upstream, UpstreamState
from .view import FleetView


class Members:
    """The upstreams that share a service's load.

    :ivar slots: requests that one of them may run for this home
    :ivar names: their names, sorted
    """

    def __init__(self, upstreams: tuple[Upstream, ...], slots: int) -> None:
        self.upstreams = upstreams
        self.slots = slots
        self.names = tuple(upstream.name for upstream in upstreams)
        self._by_name = {upstream.name: upstream for upstream in upstreams}

    def named(self, name: str) -> Upstream:
        """Return a member by its name."""
        return self._by_name[name]


class PoolBuilder:
    """Builds the pool for each request from the fleet view and the requests in
    flight.

    :param share: part of each upstream's slots that this home may use
    :param readiness: what the upstreams have loaded
    """

    def __init__(
        self,
        view: FleetView,
        table: InFlightTable,
        share: float = 1,
        readiness: Readiness | None = None,
    ) -> None:
        self._view = view
        self._table = table
        self._share = share
        self._readiness = readiness or AlwaysReady()
        self._service: Service | None = None
        self._listed: tuple[Upstream, ...] = ()
        self._members = Members((), 1)

    def members(self, service: Service) -> Members:
        """Return the live upstreams, or the suspect ones if none is live."""
        listed = self._view.upstreams(service.name)
        if listed is not self._listed or service is not self._service:
            chosen = _in_state(listed, UpstreamState.LIVE)
            if not chosen:
                chosen = _in_state(listed, UpstreamState.SUSPECT)
            slots = max(1, int(service.slots * self._share))
            self._members = Members(chosen, slots)
            self._listed = listed
            self._service = service
        return self._members

    def free_slots(self, members: Members) -> int:
        """Return the idle slots of all members."""
        return sum(
            max(0, members.slots - self._table.count(name))
            for name in members.names
        )

    def bound(self, service: Service, members: Members) -> int:
        """Return how many requests one member may hold once one more runs."""
        names = members.names
        total = self._table.total(names) + 1
        expected = total - math.ceil(service.headroom * math.sqrt(total))
        fair_bound = capacity(1, total, len(names))
        tight_bound = capacity(service.load_bound, max(expected, 1), len(names))
        return min(max(fair_bound, tight_bound), members.slots)

    def pool(
        self,
        service: Service,
        members: Members,
        request: PlacementRequest,
        barred: Collection[str],
    ) -> Pool:
        """Return the candidates for a request.

        :param barred: upstreams that may not take this request now
        """
        ready = self._ready(members.names, request.model)
        names = tuple(
            name
            for name in ready
            if name not in request.excluded and name not in barred
        )
        counts = {name: self._table.count(name) for name in names}
        return Pool(names, counts, self.bound(service, members), service.spread)

    def _ready(self, names: tuple[str, ...], model: str) -> tuple[str, ...]:
        """Return the upstreams with the model, or all where none has it."""
        ready = tuple(
            name for name in names if self._readiness.can_serve(name, model)
        )
        return ready or names


def _in_state(
    upstreams: tuple[Upstream, ...], state: UpstreamState
) -> tuple[Upstream, ...]:
    return tuple(upstream for upstream in upstreams if upstream.state is state)
