"""
bergamotshed.routers.errors
~~~~~~~~~~~~~~~~~~~~~~~~~~~

What can go wrong between two routers.
"""

__all__ = ('NoAnswer', 'NoAnswerReason', 'PeerError', 'PeerMessageError')

from dataclasses import dataclass
from enum import Enum

from ..errors import BergamotshedError


class PeerError(BergamotshedError):
    """Base of the errors between routers."""


class PeerMessageError(PeerError):
    """A peer's bytes are no message of this protocol."""


class NoAnswerReason(Enum):
    """Why a question to a peer got no answer."""

    UNKNOWN_PEER = 'unknown_peer'
    UNREACHABLE = 'unreachable'
    SILENT = 'silent'
    FAILED = 'failed'
    CLOSED = 'closed'


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """Sentinel returned in place of a peer's answer.

    :ivar sent: the question may have reached the peer
    """

    peer: str
    reason: NoAnswerReason
    is_sent: bool
