"""
bergamotshed.routing.local
~~~~~~~~~~~~~~~~~~~~~~~~~~

Placement by this router alone: as the only router, as the home of some
partitions, or as the fallback when another home doesn't answer.
"""

__all__ = ('LocalPlacer',)

import random
from collections.abc import Mapping

from ..clock import Clock
from ..control.types import ConfigurationInForce
from ..reasons import Reason, Refusal
from .decisions import Decision
from .guards import Guards
from .home import Home, HomeState
from .homes import partition_of
from .types import Outcome, Placement, PlacementRequest, Placer
from .view import FleetView

#: Router name under which a home counts this router's requests that were
#: granted elsewhere.
ADOPTED_ROUTER = 'placed-elsewhere'


class LocalPlacer(Placer):
    """Keeps a home for each service partition, created on first use.

    :param router: name of this router
    :param share: fraction of each upstream's slots that may be used; one
        divided by the number of routers in a fallback, whose load bound is
        computed from what this router alone has in flight
    :param guards: further checks of placements by the homes
    """

    def __init__(
        self,
        configuration: ConfigurationInForce,
        view: FleetView,
        clock: Clock,
        rng: random.Random,
        *,
        router: str,
        share: float = 1,
        guards: Guards | None = None,
    ) -> None:
        self._configuration = configuration
        self._view = view
        self._clock = clock
        self._rng = rng
        self._router = router
        self._share = share
        self._guards = guards
        self._homes: dict[tuple[str, int], Home] = {}

    async def place(self, request: PlacementRequest) -> Placement | Refusal:
        """Reserve an upstream, waiting at most until the deadline."""
        home = self._home_of(request)
        if home is None:
            return Refusal(Reason.UNKNOWN_SERVICE, detail=request.service)
        return await home.place(self._router, request)

    def release(
        self,
        request: PlacementRequest,
        placement: Placement,
        outcome: Outcome,
        cached: int = 0,
    ) -> None:
        """Release a reservation.

        :param cached: history tokens that the upstream served from cache
        """
        home = self._home_of(request)
        if home is not None:
            home.release(
                self._router,
                placement.grant,
                request.chat,
                outcome,
                cached,
                placement.upstream.name,
            )

    def home(self, service: str, partition: int) -> Home:
        """Return the home of a partition, created on first use."""
        key = service, partition
        if key not in self._homes:
            self._homes[key] = self._create_home(service)
        return self._homes[key]

    def remove_home(self, service: str, partition: int) -> Home | None:
        """Remove and return the home of a partition that moved elsewhere."""
        return self._homes.pop((service, partition), None)

    def adopt(
        self, service: str, partition: int, counts: Mapping[str, int]
    ) -> None:
        """Count the requests of this router that were granted elsewhere.

        :param counts: requests on each upstream
        """
        self.home(service, partition).reconcile(ADOPTED_ROUTER, 0, 0, counts)

    def homes(self) -> dict[tuple[str, int], Home]:
        """Return the homes by service and partition."""
        return dict(self._homes)

    def states(self) -> tuple[HomeState, ...]:
        """Return the state of each home, for the state dump."""
        return tuple(home.state() for home in self._homes.values())

    def explain(self, request_id: str) -> tuple[Decision, ...]:
        """Return the logged decisions of all homes on one request."""
        return tuple(
            decision
            for home in self._homes.values()
            for decision in home.explain(request_id)
        )

    def _home_of(self, request: PlacementRequest) -> Home | None:
        service = self._configuration.fleet.service(request.service)
        if service is None:
            return None
        partition = partition_of(request.chat, service.partitions)
        return self.home(request.service, partition)

    def _create_home(self, service: str) -> Home:
        service_settings = self._configuration.fleet.service(service)
        partitions = service_settings.partitions if service_settings else 1
        return Home(
            service,
            self._configuration,
            self._view,
            self._clock,
            self._rng,
            router=self._router,
            share=self._share / partitions,
            guards=self._guards,
        )
