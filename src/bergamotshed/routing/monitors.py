"""
bergamotshed.routing.monitors
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which routers monitor which: all in a small fleet, a few chosen by rendezvous
hashing in a large one.
"""

__all__ = ('MONITORS_PER_ROUTER', 'monitored_by', 'monitors_of')

from collections.abc import Sequence

from .hashing import rank, stable_hash

#: Size of the largest fleet in which each router monitors all others.
MAX_FULL_MESH_ROUTERS = 16

#: Routers that monitor each router of a larger fleet.
MONITORS_PER_ROUTER = 8


def monitors_of(name: str, routers: Sequence[str]) -> list[str]:
    """Return the routers that a router sends its heartbeats to."""
    others = [router for router in routers if router != name]
    if len(routers) <= MAX_FULL_MESH_ROUTERS:
        return others
    return rank(stable_hash('monitor', name), others)[:MONITORS_PER_ROUTER]


def monitored_by(name: str, routers: Sequence[str]) -> list[str]:
    """Return the routers whose heartbeats a router should receive."""
    return [
        router
        for router in routers
        if router != name and name in monitors_of(router, routers)
    ]
