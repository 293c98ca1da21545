"""
bergamotshed.routers.errors
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Errors and failed questions between routers.
"""

__all__ = ('NoAnswer', 'NoAnswerReason', 'PeerError', 'PeerMessageError')

from dataclasses import dataclass
from enum import Enum

from ..errors import BergamotshedError


class PeerError(BergamotshedError):
    """Base of the errors between routers."""


class PeerMessageError(PeerError):
    """A peer sent bytes that are not a valid message."""


class NoAnswerReason(Enum):
    """Why a question to a peer got no answer."""

    UNKNOWN_PEER = 'unknown_peer'
    UNREACHABLE = 'unreachable'
    SILENT = 'silent'
    FAILED = 'failed'


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """Returned in place of a peer's answer when there is none.

    :ivar is_sent: whether the question may have reached the peer
    """

    peer: str
    reason: NoAnswerReason
    is_sent: bool
