"""
bergamotshed.routers.homes
~~~~~~~~~~~~~~~~~~~~~~~~~~

Which router is the home of an upstream.
"""

__all__ = ('HOME_ASK_TIMEOUT', 'home_of_upstream')

from datetime import timedelta
from functools import lru_cache

from ..routing.hashing import rank, stable_hash
from ..upstreams.types import Incarnation

#: How long a home may take to answer: several times the latency between
#: failure domains.
HOME_ASK_TIMEOUT = timedelta(milliseconds=40)
#: Cached homes: the upstreams of a fleet, over a few changes of its routers.
HOME_CACHE_SIZE = 4096


@lru_cache(maxsize=HOME_CACHE_SIZE)
def home_of_upstream(upstream: Incarnation, routers: tuple[str, ...]) -> str:
    """Return the home among the live routers, of which there must be one."""
    name, born = upstream
    return rank(stable_hash(name, str(born)), routers)[0]
