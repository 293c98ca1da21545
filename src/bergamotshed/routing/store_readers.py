"""
bergamotshed.routing.store_readers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides which routers read a topic of the store for the others.

If every router followed every topic by itself, the calls to the store would
grow with the fleet although few topics change. Each failure domain has readers
of its own, so that a domain that is cut off from the others still has one.
"""

__all__ = ('find_reader',)

import math
from collections.abc import Sequence

from .hashing import rank, stable_hash

#: Routers that one reader serves; bounds the messages of a reader.
ROUTERS_PER_READER = 32


def find_reader(topic: str, node: str, routers: Sequence[str]) -> str | None:
    """Return the router that reads a topic for this one.

    :param node: this router
    :param routers: the live routers of its failure domain
    :return: ``None`` if this router reads the topic itself
    """
    order = rank(stable_hash('store-reader', topic), sorted(routers))
    readers = order[: math.ceil(len(order) / ROUTERS_PER_READER)]
    if not readers or node in readers:
        return None
    return readers[stable_hash('reader-of', node) % len(readers)]
