"""
bergamotshed.upstreams.types
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Upstreams, the heads of their answers, and errors of exchanges with them.
"""

__all__ = (
    'AnswerHead',
    'Delimitation',
    'Headers',
    'Incarnation',
    'Instance',
    'ReportedLoad',
    'UpstreamAnswerBroken',
    'UpstreamError',
    'UpstreamNotReached',
)

from dataclasses import dataclass
from enum import Enum

from ..errors import BergamotshedError

Headers = tuple[tuple[bytes, bytes], ...]

#: Name of an upstream and the time of its start, as in :class:`Instance`.
Incarnation = tuple[str, int]


class UpstreamError(BergamotshedError):
    """Base class of the errors of one exchange with an upstream."""


class UpstreamNotReached(UpstreamError):
    """No byte of the request was written, so it did not run."""


class UpstreamAnswerBroken(UpstreamError):
    """The answer is missing, incomplete or malformed.

    The request may have run.
    """


@dataclass(frozen=True, slots=True)
class Instance:
    """One process lifetime of an upstream.

    :ivar name: its id, unique in the fleet
    :ivar address: ``ip:port``
    :ivar domain: failure domain
    :ivar slots: requests that it runs at once
    :ivar leaving: it drains and gets no new requests
    :ivar born: Unix time of its start in milliseconds, as it reports it
    :ivar sequence: increases with each report of this lifetime
    :ivar models: names of the models that it serves; empty if unknown
    :ivar version: version of its software; empty if unknown
    """

    name: str
    service: str
    address: str
    domain: str
    slots: int
    leaving: bool = False
    born: int = 0
    sequence: int = 0
    models: frozenset[str] = frozenset()
    version: str = ''

    @property
    def incarnation(self) -> 'Incarnation':
        """Return what distinguishes this process lifetime from all others."""
        return (self.name, self.born)


class Delimitation(Enum):
    """What marks the end of an answer's body.

    :cvar NO_BODY: the answer ends with its head
    :cvar LENGTH: the announced length
    :cvar CHUNKS: the last chunk
    :cvar CONNECTION: the end of the connection
    """

    NO_BODY = 'no_body'
    LENGTH = 'length'
    CHUNKS = 'chunks'
    CONNECTION = 'connection'


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer, as received."""

    status: int
    headers: Headers
    delimitation: Delimitation


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """The load that an upstream reports in an answer.

    :ivar running: requests that it runs
    :ivar waiting: requests that wait there
    :ivar slots: requests that it runs at once
    """

    running: int
    waiting: int
    slots: int
