"""
bergamotshed.routers.claimmessages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What routers say to the owner of a claims stream.
"""

__all__ = ('ClaimAnswer', 'ClaimEnd', 'ClaimEndConfirmed', 'ClaimRequest')

from msgspec import Struct


class ClaimRequest(Struct, frozen=True, array_like=True, tag=17):
    """Asks the owner of a key's stream for the key."""

    organisation: str
    key: str


class ClaimAnswer(Struct, frozen=True, array_like=True, tag=18):
    """The key, the earlier run's answer, or why there is neither.

    :ivar offset: the winning record's offset; negative if not won
    :ivar reason: a :class:`Reason` value, or empty
    :ivar retry_after: milliseconds; negative for none
    """

    offset: int = -1
    stream: str = ''
    reason: str = ''
    retry_after: int = -1
    detail: str = ''
    status: int = 0
    body: bytes = b''
    content_type: str = ''


class ClaimEnd(Struct, frozen=True, array_like=True, tag=19):
    """The request that holds a key has ended, or never ran.

    :ivar offset: the winning record's offset
    :ivar ran: otherwise the key is given back
    """

    organisation: str
    key: str
    offset: int
    ran: bool
    status: int = 0
    body: bytes = b''
    content_type: str = ''


class ClaimEndConfirmed(Struct, frozen=True, array_like=True, tag=20):
    """Confirms an end."""
