"""
bergamotshed.log.types
~~~~~~~~~~~~~~~~~~~~~~

The platform's append-only log as the rest of the package sees it.
"""

__all__ = (
    'Log',
    'LogAnswerLost',
    'LogError',
    'LogPage',
    'LogUnavailable',
    'Record',
)

from abc import ABC, abstractmethod
from dataclasses import dataclass
from datetime import datetime, timedelta

from ..errors import BergamotshedError


class LogError(BergamotshedError):
    """Base of the log's errors."""


class LogUnavailable(LogError):
    """The log refused or was not reached; nothing was appended."""


class LogAnswerLost(LogError):
    """The append may have taken effect, but no answer came."""


@dataclass(frozen=True, slots=True)
class Record:
    """One appended record.

    :ivar offset: its place in the stream, from 0
    :ivar time: the log's own time of the append
    """

    offset: int
    time: datetime
    payload: bytes


@dataclass(frozen=True, slots=True)
class LogPage:
    """A run of records.

    :ivar first: the oldest offset that the log still keeps
    :ivar next: the offset that follows the newest record
    """

    first: int
    next: int
    records: tuple[Record, ...]


class Log(ABC):
    """A client of the log service; override both methods."""

    @abstractmethod
    async def append(self, stream: str, payload: bytes) -> int:
        """Append one record and return its offset.

        :raises LogUnavailable: nothing was appended
        :raises LogAnswerLost: it may have been appended
        """

    @abstractmethod
    async def read(
        self,
        stream: str,
        start: int,
        *,
        limit: int = 500,
        wait: timedelta = timedelta(0),
    ) -> LogPage:
        """Read records from an offset on.

        :param wait: how long the log may hold the answer back until there
            is a record
        :raises LogUnavailable: the log can't be read now
        """
