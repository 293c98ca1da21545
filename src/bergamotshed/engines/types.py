"""
bergamotshed.engines.types
~~~~~~~~~~~~~~~~~~~~~~~~~~

Requests to model engines, their answers and errors.
"""

__all__ = (
    'ChatMessage',
    'Chunk',
    'EngineClient',
    'EngineCut',
    'EngineDown',
    'EngineError',
    'EngineOverloaded',
    'EngineRejected',
    'EngineRequest',
    'EngineSilent',
    'EngineUnreachable',
    'Finish',
    'LoadReport',
    'LoadedModel',
    'Order',
    'OrderKind',
    'OrderRefused',
    'Resume',
)

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from ..errors import BergamotshedError


class EngineError(BergamotshedError):
    """Base of the errors of calls to an engine."""


class EngineUnreachable(EngineError):
    """No connection was established, so the request did not run."""


class EngineDown(EngineUnreachable):
    """The engine's VM refused the connection: no process listens there."""


class EngineOverloaded(EngineError):
    """The engine refused the request without running it.

    :param retry_after: the delay that it asks for, if any
    """

    def __init__(self, retry_after: timedelta | None = None) -> None:
        super().__init__('the engine refused the request')
        self.retry_after = retry_after


class EngineRejected(EngineError):
    """The engine answered that the request is invalid.

    :param status: HTTP status of the answer
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class EngineCut(EngineError):
    """The exchange broke off after sending: the request may have run."""


class EngineSilent(EngineCut):
    """Reading timed out; the engine may still run the request."""


class OrderRefused(EngineError):
    """The engine has seen a newer fencing token.

    :param fence: the newer token
    """

    def __init__(self, fence: int) -> None:
        super().__init__(f'the engine has seen the newer fencing token {fence}')
        self.fence = fence


@dataclass(frozen=True, slots=True)
class ChatMessage:
    """One message of a chat."""

    role: str
    content: str


@dataclass(frozen=True, slots=True)
class Resume:
    """Where a new attempt continues an answer.

    :ivar offset: number of tokens that the caller already has
    :ivar text: text of these tokens
    """

    offset: int
    text: str


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """One attempt at a chat completion.

    :ivar request: fleet-wide request id
    :ivar attempt: number of the attempt, from 1
    :ivar resume: where to continue; ``None`` to start from the beginning
    """

    request: str
    attempt: int
    model: str
    messages: tuple[ChatMessage, ...]
    version: str = ''
    adapter: str = ''
    priority: int = 5
    max_tokens: int = 256
    resume: Resume | None = None


@dataclass(frozen=True, slots=True)
class Chunk:
    """One token of an answer; ``offset`` counts the tokens before it."""

    request: str
    attempt: int
    offset: int
    text: str


@dataclass(frozen=True, slots=True)
class Finish:
    """The end of a complete answer.

    :ivar offset: number of tokens of the answer
    :ivar cached: prompt tokens read from the prefix cache
    :ivar prompt: prompt tokens in total
    """

    request: str
    attempt: int
    offset: int
    reason: str
    cached: int
    prompt: int


@dataclass(frozen=True, slots=True)
class LoadedModel:
    """A model version that an engine has in memory."""

    model: str
    version: str
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that an engine reports; it may be out of date.

    :ivar boot: id of the engine run; changes when the engine restarts
    :ivar seq: number of the report
    :ivar cache_tokens: tokens in the prefix cache
    """

    boot: str
    seq: int
    in_flight: int
    slots: int
    cache_tokens: int
    role: str
    loaded: tuple[LoadedModel, ...]


class OrderKind(Enum):
    """What an order changes.

    An order states the wanted state, so it may be repeated.
    """

    LOAD = 'load'
    UNLOAD = 'unload'
    ROLE = 'role'


@dataclass(frozen=True, slots=True)
class Order:
    """An order from the holder of the control lease.

    :ivar fence: fencing token of the holder
    """

    kind: OrderKind
    fence: int
    model: str = ''
    version: str = ''
    adapters: tuple[str, ...] = ()
    role: str = ''


class EngineClient(ABC):
    """Calls engines at an address ``ip:port``; override every method."""

    @abstractmethod
    def stream(
        self, address: str, request: EngineRequest
    ) -> AsyncIterator[Chunk | Finish]:
        """Run one attempt; the last event is a :class:`Finish`.

        :raises EngineUnreachable: the request was not sent
        :raises EngineOverloaded: the request did not run
        :raises EngineRejected: the request is invalid
        :raises EngineCut: the stream ended without a finish event
        """

    @abstractmethod
    def reattach(
        self, address: str, request: EngineRequest, offset: int
    ) -> AsyncIterator[Chunk | Finish]:
        """Continue a stream that still runs on that engine.

        :param offset: first token to send
        :raises EngineRejected: the engine does not know the request
        """

    @abstractmethod
    async def cancel(self, address: str, request: str) -> None:
        """Cancel a request; errors of the engine are ignored."""

    @abstractmethod
    async def load(self, address: str) -> LoadReport:
        """Read the engine's load report.

        :raises EngineError: the report can't be read now
        """

    @abstractmethod
    async def order(self, address: str, order: Order) -> None:
        """Send an order.

        :raises OrderRefused: the fencing token is out of date
        """
