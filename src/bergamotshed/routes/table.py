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

    A look-up costs one probe for each segment of the path, whatever the
    number of routes.
    """

    def __init__(self, facts: RoutingData) -> None:
        self._facts = facts
        self._hosts: dict[str, _RoutesByPath] = {}
        for route in facts.routes:
            host = self._hosts.setdefault(route.host.lower(), {})
            host[route.path_prefix] = route

    @property
    def version(self) -> int:
        """Return the version of the configuration."""
        return self._facts.version

    @property
    def limits(self) -> RequestLimits:
        """Return the bounds of what callers may send."""
        return self._facts.limits

    @property
    def services(self) -> Mapping[str, RoutedService]:
        """Return the services by name."""
        return self._facts.services

    @property
    def requires_key(self) -> bool:
        """Return whether requests need an API key."""
        return self._facts.requires_key

    @property
    def size(self) -> int:
        """Return how many routes there are."""
        return len(self._facts.routes)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path.

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
        return self._facts.keys.get(key)
