"""
bergamotshed.dispatch.types
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Parsed calls and the events that their callers receive.
"""

__all__ = (
    'AttemptStarted',
    'CallOptions',
    'ChatCall',
    'Event',
    'Failure',
    'FailureType',
    'PlainAnswer',
    'PlainCall',
)

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from ..engines.types import ChatMessage, Chunk, Finish
from ..reasons import Reason


@dataclass(frozen=True, slots=True)
class CallOptions:
    """Options of every call.

    :ivar request_id: unique in the fleet
    :ivar priority: 0 is the most urgent, 9 the least
    :ivar time_allowed: how long the caller waits
    :ivar idempotency_key: empty if the caller sent none
    :ivar at_most_once: the call must not run twice
    :ivar preferred_upstream: the upstream named by the placement token of an
        earlier answer; empty for none
    """

    request_id: str
    organisation: str
    priority: int = 5
    time_allowed: timedelta = timedelta(seconds=60)
    idempotency_key: str = ''
    at_most_once: bool = False
    preferred_upstream: str = ''


@dataclass(frozen=True, slots=True)
class ChatCall:
    """A request for a chat completion."""

    options: CallOptions
    chat_id: str
    model: str
    adapter: str
    messages: tuple[ChatMessage, ...]
    max_tokens: int = 256


@dataclass(frozen=True, slots=True)
class PlainCall:
    """A call to a plain service.

    :ivar name: name of the call within the service
    """

    options: CallOptions
    service: str
    name: str
    body: bytes
    content_type: str = 'application/json'


class FailureType(Enum):
    """The ways in which a request ends without an answer."""

    REFUSED_NOT_RUN = 'refused, not run'
    OUTCOME_UNKNOWN = 'outcome unknown'
    FAILED = 'failed'


@dataclass(frozen=True, slots=True)
class Failure:
    """The end of a request that has no answer.

    :ivar message: one sentence for the caller
    :ivar status: HTTP status
    """

    type: FailureType
    reason: Reason
    message: str
    status: int
    retry_after: timedelta | None = None


@dataclass(frozen=True, slots=True)
class PlainAnswer:
    """A plain service's complete answer.

    :ivar upstream: name of the upstream that answered; empty if a stored
        answer is repeated
    """

    status: int
    body: bytes
    content_type: str
    upstream: str = ''


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """An attempt starts on an upstream; later events come from it."""

    upstream: str


Event = AttemptStarted | Chunk | Finish | Failure
