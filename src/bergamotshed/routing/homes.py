"""
bergamotshed.routing.homes
~~~~~~~~~~~~~~~~~~~~~~~~~~

Determines which router is the home of a service partition.
"""

__all__ = ('home_of', 'partition_of', 'rank_homes')

from collections.abc import Sequence

from .hashing import rank, stable_hash
from .view import RouterNode

CHAT_BITS = 64


def partition_of(chat: int, partitions: int) -> int:
    """Return the partition, from 0, that a chat's 64-bit hash falls into."""
    return (chat * partitions) >> CHAT_BITS


def rank_homes(
    service: str, partition: int, routers: Sequence[RouterNode]
) -> list[str]:
    """Return the routers that may be the home, the home first.

    Leaving routers are never the home. Suspect routers come last.
    """
    key = stable_hash('home', service, str(partition))
    staying = [router for router in routers if not router.leaving]
    trusted = [router.name for router in staying if not router.suspect]
    suspects = [router.name for router in staying if router.suspect]
    return rank(key, trusted) + rank(key, suspects)


def home_of(
    service: str, partition: int, routers: Sequence[RouterNode]
) -> str | None:
    """Return the name of the home; ``None`` if there is no router."""
    order = rank_homes(service, partition, routers)
    return order[0] if order else None
