"""
bergamotshed.gateway.heartbeat
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Builds the heartbeats that a gateway sends to the other gateways.
"""

__all__ = ('HeartbeatBuilder',)

from collections.abc import Callable, Iterable
from datetime import timedelta

from ..process.shutdown import ShutdownWindow
from ..routers.messages import GatewayHeartbeat
from ..routes.current_table import CurrentRoutingTable
from ..routing.peer_loads import OwnLoad


class HeartbeatBuilder:
    """Reports whether this gateway accepts requests and how many it has.

    :param max_age: age of the configuration from which on it does not
    :param lost_services: returns the services that it does not reach
    :param own_loads: returns its requests on upstreams
    :param withdrawn: returns the keys of upstreams that stated that they leave
    """

    def __init__(
        self,
        max_age: timedelta,
        routing: CurrentRoutingTable,
        shutdown: ShutdownWindow,
        lost_services: Callable[[], Iterable[str]],
        own_loads: Callable[[], tuple[OwnLoad, ...]],
        withdrawn: Callable[[], tuple[int, ...]],
    ) -> None:
        self._max_age_s = max_age.total_seconds()
        self._routing = routing
        self._shutdown = shutdown
        self._lost_services = lost_services
        self._own_loads = own_loads
        self._withdrawn = withdrawn

    def build(self) -> GatewayHeartbeat:
        """Return the next heartbeat."""
        is_ready = (
            not self._shutdown.is_stopping
            and self._routing.age < self._max_age_s
        )
        return GatewayHeartbeat(
            is_ready,
            self._routing.version,
            tuple(sorted(self._lost_services())),
            self._own_loads(),
            self._withdrawn(),
        )
