"""
bergamotshed.forwarding.types
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Routed requests and what becomes of them.
"""

__all__ = (
    'AnswerMetadata',
    'AnswerSink',
    'CallerHeaders',
    'PromptPart',
    'RequestMetadata',
    'RoutedRequest',
    'StreamedAnswer',
    'UnknownOutcome',
    'UpstreamAnswer',
)

from abc import ABC, abstractmethod
from dataclasses import dataclass, replace
from datetime import timedelta

from ..reasons import Reason
from ..upstreams.types import Headers, ReportedLoad

CallerHeaders = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A piece of a prompt that other prompts may begin with too.

    :ivar name: equal for equal contents
    """

    name: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """One attempt of a caller, as it came.

    :ivar attempt: the caller's id of this attempt
    :ivar target: path and query, byte for byte
    :ivar headers: what is passed on to the upstream
    :ivar key: the API key, if one was sent
    :ivar time_allowed: how long the caller waits; ``None`` if not said
    :ivar prompt: the parts of its prompt in order; the last is its own
    :ivar output_tokens: most tokens of its answer
    :ivar after_event: id of the last event that the caller has of a stream
    :ivar arrived_at: monotonic seconds
    """

    attempt_id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    arrived_at: float
    api_key: str | None = None
    time_allowed: timedelta | None = None
    model: str = ''
    prompt_parts: tuple[PromptPart, ...] = ()
    output_tokens: int = 0
    last_event_id: str | None = None

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition('?')[0]

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Return the parts of its prompt that others begin with too."""
        parts = self.prompt_parts[:-1] or self.prompt_parts
        return tuple(part.name for part in parts)

    @property
    def input_tokens(self) -> int:
        """Return the tokens of the whole prompt."""
        return sum(part.tokens for part in self.prompt_parts)

    def resumed_after(self, event: str) -> 'RoutedRequest':
        """Return the request for what follows an event of its answer."""
        return replace(self, last_event_id=event)


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a router tells the upstream besides the request.

    :ivar instance: the upstream that is meant; no other runs the request
    :ivar organisation: who holds the key; empty on a public route
    :ivar cache_source: ``ip:port`` of another upstream that may have the
        prompt in its cache; empty for none
    """

    instance_name: str
    organisation: str
    priority: int
    time_remaining: timedelta
    cache_source: str = ''


@dataclass(frozen=True, slots=True)
class AnswerMetadata:
    """What the head of an upstream's answer says.

    :ivar attempt: the attempt that it answers
    :ivar sealed: it bears the upstream's signature
    :ivar not_run: the upstream states that the request did not run
    :ivar encoded: the body is not the upstream's own bytes
    :ivar events: the body is a series of events
    :ivar keep_alive: seconds that the upstream keeps the idle connection;
        zero if it closes it, ``None`` if it does not say
    :ivar passed: headers for the caller
    """

    status: int
    attempt_id: str
    is_sealed: bool
    did_not_run: bool
    is_encoded: bool
    is_event_stream: bool
    keep_alive_s: float | None
    load: ReportedLoad | None
    caller_headers: CallerHeaders


@dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """An upstream's whole answer."""

    status: int
    headers: CallerHeaders
    body: bytes


@dataclass(frozen=True, slots=True)
class StreamedAnswer:
    """The answer went through the sink.

    :ivar is_complete: false if it was cut off
    """

    is_complete: bool


@dataclass(frozen=True, slots=True)
class UnknownOutcome:
    """No answer can be given though the request may have run.

    :ivar timed_out: it ran out of time
    """

    reason: Reason
    detail: str = ''
    has_timed_out: bool = False


class AnswerSink(ABC):
    """The way back to a caller for an answer that is passed on in pieces."""

    @abstractmethod
    async def start(self, status: int, headers: CallerHeaders) -> None:
        """Send the head."""

    @abstractmethod
    async def write(self, piece: bytes) -> None:
        """Send a piece, waiting while the caller does not read."""

    @abstractmethod
    async def finish(self) -> None:
        """Mark the answer as complete."""

    @abstractmethod
    def abort(self) -> None:
        """Break the connection, so that the answer is seen as incomplete."""
