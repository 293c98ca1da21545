"""
bergamotshed.log.types
~~~~~~~~~~~~~~~~~~~~~~

Interface of the platform's append-only log.
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
    """Base of the errors of calls to the log."""


class LogUnavailable(LogError):
    """The log refused or could not be reached; nothing was appended."""


class LogAnswerLost(LogError):
    """No answer was received; the record may have been appended."""


@dataclass(frozen=True, slots=True)
class Record:
    """One appended record.

    :ivar offset: position in the stream, from 0
    :ivar time: time of the append by the clock of the log
    """

    offset: int
    time: datetime
    payload: bytes


@dataclass(frozen=True, slots=True)
class LogPage:
    """Consecutive records of a stream.

    :ivar first: the oldest offset that the log still stores
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
        :raises LogAnswerLost: the record may have been appended
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

        :param wait: how long the log may wait for a record before it answers
            (long polling)
        :raises LogUnavailable: the log can't be read now
        """
