"""
bergamotshed.routes.table
~~~~~~~~~~~~~~~~~~~~~~~~~

Finds the route of a request.
"""

__all__ = ('RoutingTable',)

from collections.abc import Mapping

from .types import (
    Organisation,
    RequestLimits,
    Route,
    RoutedService,
    RoutingData,
)

_SLASH = '/'
_RoutesByPath = dict[str, Route]


class RoutingTable:
    """One version of the configuration, indexed for look-ups.

    A look-up costs one dictionary access for each segment of the path,
    whatever the number of routes.
    """

    def __init__(self, data: RoutingData) -> None:
        self._data = data
        self._hosts: dict[str, _RoutesByPath] = {}
        for route in data.routes:
            host = self._hosts.setdefault(route.host.lower(), {})
            host[route.path_prefix] = route

    @property
    def version(self) -> int:
        """Return the version of the configuration."""
        return self._data.version

    @property
    def limits(self) -> RequestLimits:
        """Return the limits of what callers may send."""
        return self._data.limits

    @property
    def services(self) -> Mapping[str, RoutedService]:
        """Return the services by name."""
        return self._data.services

    @property
    def requires_key(self) -> bool:
        """Return whether requests need an API key."""
        return self._data.requires_key

    @property
    def size(self) -> int:
        """Return the number of routes."""
        return len(self._data.routes)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path.

        :param host: the request's host, with or without a port
        :param path: the path without its query
        """
        routes = self._hosts.get(host.lower())
        if routes is None:
            routes = self._hosts.get(host.lower().partition(':')[0])
        if routes is None:
            return None
        end = path.rfind(_SLASH)
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind(_SLASH, 0, end)
        return None

    def organisation(self, key: str) -> Organisation | None:
        """Return the organisation that holds an API key."""
        return self._data.keys.get(key)
