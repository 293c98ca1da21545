"""
bergamotshed.routers.homemap
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The home of each service partition in this router's view of the fleet.
"""

__all__ = ('HomeMap',)

from ..control.types import ConfigurationInForce
from ..routing.homes import home_of, partition_of
from ..routing.types import PlacementRequest
from ..routing.view import FleetView, RouterNode
from .heldplacements import Partition


class HomeMap:
    """Looks up homes, and caches them until the list of routers changes."""

    def __init__(
        self, view: FleetView, configuration: ConfigurationInForce
    ) -> None:
        self._view = view
        self._configuration = configuration
        self._routers: tuple[RouterNode, ...] = ()
        self._homes: dict[Partition, str | None] = {}

    @property
    def router_count(self) -> int:
        """Return the number of routers, this one included."""
        return len(self._view.routers())

    def home_of(self, partition: Partition) -> str | None:
        """Return a partition's home; ``None`` if all routers are leaving."""
        routers = self._view.routers()
        if routers is not self._routers:
            self._routers = routers
            self._homes.clear()
        if partition not in self._homes:
            self._homes[partition] = home_of(*partition, routers)
        return self._homes[partition]

    def partition_of(self, request: PlacementRequest) -> Partition | None:
        """Return a request's partition; ``None`` for an unknown service."""
        service = self._configuration.fleet.service(request.service)
        if service is None:
            return None
        number = partition_of(request.chat, service.partitions)
        return service.name, number

    def partitions(self) -> list[Partition]:
        """Return all partitions of the configuration."""
        return [
            (service.name, number)
            for service in self._configuration.fleet.services
            for number in range(service.partitions)
        ]

    def has_partition(self, partition: Partition) -> bool:
        """Return whether the configuration has this partition."""
        service = self._configuration.fleet.service(partition[0])
        return service is not None and partition[1] < service.partitions

    def live_peers(self, node: str) -> list[str]:
        """Return the names of the other routers that are not suspect."""
        return [
            router.name
            for router in self._view.routers()
            if router.name != node and not router.suspect
        ]
