"""
bergamotshed.dispatch.types
~~~~~~~~~~~~~~~~~~~~~~~~~~~

A parsed call, and what is told to its caller.
"""

__all__ = (
    'AttemptStarted',
    'CallOptions',
    'ChatAnswer',
    'ChatCall',
    'Event',
    'Failure',
    'FailureType',
    'PlainAnswer',
    'PlainCall',
)

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from ..engines.types import ChatMessage, Chunk, Finish
from ..reasons import Reason


@dataclass(frozen=True, slots=True)
class CallOptions:
    """What every call may carry.

    :ivar placement: the upstream named by the token of a former answer, or
        empty
    """

    request: str
    organisation: str
    priority: int = 5
    deadline: timedelta = timedelta(seconds=60)
    key: str = ''
    at_most_once: bool = False
    placement: str = ''


@dataclass(frozen=True, slots=True)
class ChatCall:
    """A chat completion."""

    options: CallOptions
    chat: str
    model: str
    adapter: str
    messages: tuple[ChatMessage, ...]
    max_tokens: int = 256


@dataclass(frozen=True, slots=True)
class PlainCall:
    """A call to a plain service."""

    options: CallOptions
    service: str
    call: str
    body: bytes
    content_type: str = 'application/json'


class FailureType(Enum):
    """The three endings that are no answer."""

    REFUSED_NOT_RUN = 'refused, not run'
    OUTCOME_UNKNOWN = 'outcome unknown'
    FAILED = 'failed'


@dataclass(frozen=True, slots=True)
class Failure:
    """The final answer of a request that got none."""

    type: FailureType
    reason: Reason
    message: str
    status: int
    retry_after: timedelta | None = None


@dataclass(frozen=True, slots=True)
class PlainAnswer:
    """A plain service's whole answer.

    :ivar upstream: name of the upstream that gave it, or empty for a repeat
    """

    status: int
    body: bytes
    content_type: str
    upstream: str = ''


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """An attempt begins on an upstream; what follows comes from there."""

    upstream: str


@dataclass(slots=True)
class ChatAnswer:
    """A chat's whole answer, gathered for callers that do not stream."""

    text: list[str] = field(default_factory=list)
    finish: Finish | None = None


Event = AttemptStarted | Chunk | Finish | Failure
