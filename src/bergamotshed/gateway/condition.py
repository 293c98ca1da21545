"""
bergamotshed.gateway.condition
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What a gateway says of itself to the others.
"""

__all__ = ('Condition',)

from datetime import timedelta

from ..process.stopping import ShutdownWindow
from ..routers.messages import GatewayHeartbeat
from ..routes.current_table import CurrentRoutingTable


class Condition:
    """Tells whether this gateway takes requests.

    :param oldest: age of the configuration from which it does not
    """

    def __init__(
        self,
        oldest: timedelta,
        routing: CurrentRoutingTable,
        stop: ShutdownWindow,
    ) -> None:
        self._oldest = oldest.total_seconds()
        self._routing = routing
        self._stop = stop

    def beat(self) -> GatewayHeartbeat:
        """Return the next beat."""
        ready = not self._stop.is_stopping and self._routing.age < self._oldest
        return GatewayHeartbeat(ready, self._routing.version)
