"""
bergamotshed.routers.loadmessages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Messages between gateways and the homes of upstreams about their load.
"""

__all__ = ('LoadAnswer', 'LoadRelease', 'LoadRequest')

from msgspec import Struct


class LoadRequest(Struct, frozen=True, array_like=True, tag=36):
    """Asks the home of an upstream whether it may have one more request.

    :ivar born: start time of the upstream, as reported by itself
    :ivar bound: most requests that it may have before this one
    :ivar lifetime: milliseconds after which the grant ends by itself
    """

    upstream: str
    born: int
    bound: float
    lifetime: int


class LoadAnswer(Struct, frozen=True, array_like=True, tag=37):
    """Grants a request, or not.

    :ivar grant: number of the grant; 0 if the request must not be sent
    :ivar in_flight: requests on the upstream without this one
    """

    grant: int
    in_flight: int


class LoadRelease(Struct, frozen=True, array_like=True, tag=38):
    """Reports the end of a request to the home that granted it."""

    grant: int
