"""
bergamotshed.routers.originmessages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Messages between routers about the origins of streams. Their tags continue those
of :mod:`bergamotshed.routers.messages`.
"""

__all__ = ('OriginAnswer', 'OriginRequest', 'StreamBegun')

from msgspec import Struct


class StreamBegun(Struct, frozen=True, array_like=True, tag=33):
    """Reports which version began a stream.

    :ivar stream: 64-bit hash of the attempt that got the first event
    """

    stream: int
    service: str
    version: str


class OriginRequest(Struct, frozen=True, array_like=True, tag=34):
    """Asks which version began a stream."""

    stream: int


class OriginAnswer(Struct, frozen=True, array_like=True, tag=35):
    """The version that began a stream, if the sender knows it."""

    is_known: bool = False
    service: str = ''
    version: str = ''
