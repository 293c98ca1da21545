"""
bergamotshed.routers.claimmessages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Messages between a router and the owner of a claims stream.
"""

__all__ = ('ClaimAnswer', 'ClaimEnd', 'ClaimEndConfirmed', 'ClaimRequest')

from msgspec import Struct


class ClaimRequest(Struct, frozen=True, array_like=True, tag=17):
    """Asks the owner of an idempotency key's stream to claim the key."""

    organisation: str
    key: str


class ClaimAnswer(Struct, frozen=True, array_like=True, tag=18):
    """The won claim, the answer of the earlier run, or a refusal.

    :ivar offset: log offset of the winning record; negative if the key was
        not won
    :ivar reason: value of the refusal's :class:`Reason`, or empty
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
    """Settles or voids the claim of a request that has ended.

    :ivar offset: log offset of the winning record
    :ivar has_run: whether the request ran; if not, the claim is voided
    """

    organisation: str
    key: str
    offset: int
    has_run: bool
    status: int = 0
    body: bytes = b''
    content_type: str = ''


class ClaimEndConfirmed(Struct, frozen=True, array_like=True, tag=20):
    """Confirms that a :class:`ClaimEnd` was handled."""
