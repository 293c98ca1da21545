"""
bergamotshed.routing.bound
~~~~~~~~~~~~~~~~~~~~~~~~~~

Computes the load bound in exact integer arithmetic.
"""

__all__ = ('capacity',)

from fractions import Fraction
from functools import lru_cache

BOUND_CACHE_SIZE = 64
MAX_DENOMINATOR = 1_000_000


def capacity(
    load_bound: float, total_in_flight_after: int, upstreams: int
) -> int:
    """Return the maximum number of requests in flight on one upstream.

    :param load_bound: allowed multiple of the mean, at least 1
    :param total_in_flight_after: requests in flight on all upstreams,
        including the one to be placed
    :param upstreams: number of upstreams, at least 1
    """
    ratio = _exact_ratio(load_bound)
    dividend = ratio.numerator * total_in_flight_after
    return -(-dividend // (ratio.denominator * upstreams))


@lru_cache(maxsize=BOUND_CACHE_SIZE)
def _exact_ratio(load_bound: float) -> Fraction:
    return Fraction(load_bound).limit_denominator(MAX_DENOMINATOR)
