"""
bergamotshed.routing.view
~~~~~~~~~~~~~~~~~~~~~~~~~

This router's current view of the fleet.
"""

__all__ = ('FleetView', 'RouterNode', 'RouterView')

from abc import ABC, abstractmethod
from dataclasses import dataclass

from .types import Upstream


@dataclass(frozen=True, slots=True)
class RouterNode:
    """A router of the fleet.

    :ivar callers: ``ip:port`` for callers
    :ivar peers: ``ip:port`` for other routers
    :ivar leaving: it drains: it becomes no home and isn't listed to callers
    :ivar suspect: sent no heartbeat within the suspicion timeout, or didn't
        answer
    """

    name: str
    callers: str
    peers: str
    domain: str
    leaving: bool = False
    suspect: bool = False


class RouterView(ABC):
    """The routers of the fleet; override the method."""

    @abstractmethod
    def routers(self) -> tuple[RouterNode, ...]:
        """Return all routers, this one included."""


class FleetView(RouterView):
    """Upstreams and routers, sorted by name; override both methods."""

    @abstractmethod
    def upstreams(self, service: str) -> tuple[Upstream, ...]:
        """Return the service's upstreams, sorted by name."""
