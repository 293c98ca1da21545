"""
bergamotshed.forwarding.types
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Routed requests, answers and the results of forwarding.
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
from ..upstreams.types import Delimitation, Headers, ReportedLoad

CallerHeaders = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt, which other prompts may share as a prefix.

    :ivar name: equal for equal contents
    """

    name: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A caller's request as it was received.

    :ivar attempt_id: the caller's id of this attempt
    :ivar target: path and query, byte for byte
    :ivar headers: headers that are passed on to the upstream
    :ivar api_key: the API key, if one was sent
    :ivar time_allowed: how long the caller waits; ``None`` if not stated
    :ivar prompt_parts: parts of the prompt in order; the last is this
        request's own
    :ivar output_tokens: maximum number of tokens of the answer
    :ivar last_event_id: id of the last event that the caller has of a stream;
        the answer resumes after it
    :ivar resumed_attempt: id of the attempt that brought the first event of
        the stream that it resumes; ``None`` if not stated
    :ivar arrived_at: when the request arrived, in monotonic seconds
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
    resumed_attempt: str | None = None

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition('?')[0]

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Return the names of the parts that other prompts may share.

        A prompt of a single part counts as shared.
        """
        parts = self.prompt_parts[:-1] or self.prompt_parts
        return tuple(part.name for part in parts)

    @property
    def input_tokens(self) -> int:
        """Return the tokens of the whole prompt."""
        return sum(part.tokens for part in self.prompt_parts)

    def resumed_after(self, event: str) -> 'RoutedRequest':
        """Return a request for the rest of the answer after an event."""
        return replace(self, last_event_id=event)


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a router sends to the upstream along with the request.

    :ivar instance_name: the intended upstream; no other runs the request
    :ivar organisation: owner of the API key; empty where none is needed
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
    """Content of the head of an upstream's answer.

    :ivar attempt_id: id of the attempt that it answers
    :ivar is_sealed: it has the upstream's response seal
    :ivar did_not_run: the upstream states that the request did not run
    :ivar is_encoded: the body has a content encoding, so it is not the
        upstream's own bytes
    :ivar is_event_stream: the body is an event stream
    :ivar delimitation: what marks the end of the body
    :ivar keep_alive_s: how long the upstream keeps an idle connection; zero
        if it closes the connection, ``None`` if not stated
    :ivar load: the load that the upstream reports; ``None`` if not stated
    :ivar max_rate: requests a second that the upstream takes from all routers
        together for as long as it says so; ``None`` for no limit
    :ivar tolerance: rejections for want of room in a second that the upstream
        bears before it falls over; ``None`` for any number
    :ivar is_leaving: the upstream states that it leaves and wants no new
        requests
    :ivar pause: how long the upstream wants no requests from this router; zero
        if not stated
    :ivar caller_headers: headers that are passed on to the caller
    """

    status: int
    attempt_id: str
    is_sealed: bool
    did_not_run: bool
    is_encoded: bool
    is_event_stream: bool
    delimitation: Delimitation
    keep_alive_s: float | None
    load: ReportedLoad | None
    max_rate: float | None
    tolerance: float | None
    is_leaving: bool
    pause: timedelta
    caller_headers: CallerHeaders


@dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """An upstream's whole answer, not sent to the caller yet."""

    status: int
    headers: CallerHeaders
    body: bytes


@dataclass(frozen=True, slots=True)
class StreamedAnswer:
    """An answer that was sent to the caller through the sink.

    :ivar is_complete: false if it was cut off
    """

    is_complete: bool


@dataclass(frozen=True, slots=True)
class UnknownOutcome:
    """There is no answer, but the request may have run.

    :ivar has_timed_out: the deadline passed
    """

    reason: Reason
    detail: str = ''
    has_timed_out: bool = False


class AnswerSink(ABC):
    """Sends an answer to the caller in pieces."""

    @abstractmethod
    async def start(self, status: int, headers: CallerHeaders) -> None:
        """Send the head."""

    @abstractmethod
    async def write(self, piece: bytes) -> None:
        """Send a piece; waits while the caller does not read."""

    @abstractmethod
    async def finish(self) -> None:
        """Mark the answer as complete."""

    @abstractmethod
    def abort(self) -> None:
        """Break the connection, so that the answer is seen as incomplete."""
