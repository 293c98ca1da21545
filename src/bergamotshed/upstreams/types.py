"""
bergamotshed.upstreams.types
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Upstreams, their answers and what goes wrong with them.
"""

__all__ = (
    'AnswerHead',
    'Headers',
    'Incarnation',
    'Instance',
    'ReportedLoad',
    'UpstreamAnswerBroken',
    'UpstreamError',
    'UpstreamNotReached',
    'UpstreamTimeout',
)

from dataclasses import dataclass

from ..errors import BergamotshedError

Headers = tuple[tuple[bytes, bytes], ...]

#: Name of an upstream, and the time of its start as in :class:`Instance`.
Incarnation = tuple[str, int]


class UpstreamError(BergamotshedError):
    """Base of the errors of one exchange with an upstream."""


class UpstreamNotReached(UpstreamError):
    """No byte of the request was written, so it did not run."""


class UpstreamAnswerBroken(UpstreamError):
    """The answer did not come, broke off or is no answer.

    The request may have run.
    """


class UpstreamTimeout(UpstreamError):
    """Nothing came for longer than allowed; the request may have run."""


@dataclass(frozen=True, slots=True)
class Instance:
    """One start of an upstream.

    :ivar name: its id, unique in the fleet
    :ivar address: ``ip:port``
    :ivar domain: failure domain
    :ivar born: wall-clock time of its start in milliseconds, as it says
    :ivar sequence: grows with each report of this start
    :ivar models: names of the models that it serves; empty if it says none
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

    @property
    def incarnation(self) -> 'Incarnation':
        """Return what tells this start from all others."""
        return (self.name, self.born)


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer, as they came.

    :ivar is_sized: the end of the body is known by a length or by chunks, not
        by the end of the connection
    """

    status: int
    headers: Headers
    is_sized: bool


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """What an upstream says of its load in an answer."""

    running: int
    waiting: int
    slots: int
