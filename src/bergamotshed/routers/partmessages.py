"""
bergamotshed.routers.partmessages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Messages between routers about parts of requests.
"""

__all__ = ('PartsAnswered',)

from msgspec import Struct


class PartsAnswered(Struct, frozen=True, array_like=True, tag=28):
    """Parts of requests that an upstream has begun to answer after a crash.

    :ivar parts: the hash of each and the milliseconds since the answer
    """

    parts: tuple[tuple[int, int], ...]
