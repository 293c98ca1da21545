"""
bergamotshed.routing.stream_origins
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which version of an upstream's software began a stream.

What two versions write does not fit together, and upstreams do not check it, so
a stream may be resumed only at the version that began it.
"""

__all__ = (
    'STREAM_LIFETIME',
    'OriginUnknown',
    'SharedStreamOrigins',
    'StreamOrigin',
    'StreamOriginMemory',
)

from abc import ABC, abstractmethod
from collections import OrderedDict
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from ..clock import Clock

#: Longest time from the first event of a stream to its last resumption;
#: several times the usual timeouts of routes.
STREAM_LIFETIME = timedelta(minutes=2)
#: Streams that are remembered; about 200 bytes each.
MAX_STREAMS = 50_000


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The service and the software version that began a stream."""

    service: str
    version: str


class OriginUnknown(Enum):
    """Why an origin is not known.

    :cvar NOT_FOUND: no router that was asked knows it
    :cvar UNANSWERED: a router that may know it did not answer
    """

    NOT_FOUND = 'not_found'
    UNANSWERED = 'unanswered'


class SharedStreamOrigins(ABC):
    """Shares the origins of streams with other routers; override both."""

    @abstractmethod
    def record(self, attempt_id: str, origin: StreamOrigin) -> None:
        """Record the origin of a stream before its first event is passed on.

        :param attempt_id: the caller's id of the attempt that gets the event
        """

    @abstractmethod
    async def find(self, attempt_id: str) -> StreamOrigin | OriginUnknown:
        """Return the origin of a stream that any router has begun."""


class StreamOriginMemory:
    """Remembers origins by a hash of the attempt, the newest last."""

    def __init__(self, clock: Clock, max_streams: int = MAX_STREAMS) -> None:
        self._clock = clock
        self._max_streams = max_streams
        self._origins: OrderedDict[int, tuple[StreamOrigin, float]]
        self._origins = OrderedDict()

    def __len__(self) -> int:
        """Return how many streams are remembered."""
        return len(self._origins)

    def record(self, key: int, origin: StreamOrigin) -> None:
        """Record an origin; the first one of a stream counts."""
        if self.find(key) is None:
            self._origins[key] = (origin, self._clock.boottime())
            self._origins.move_to_end(key)
        self._drop_old()

    def find(self, key: int) -> StreamOrigin | None:
        """Return an origin, or ``None`` if it is unknown or too old."""
        known = self._origins.get(key)
        if known is None or self._is_old(known[1]):
            return None
        return known[0]

    def _drop_old(self) -> None:
        while self._origins:
            key, (_, recorded_at) = next(iter(self._origins.items()))
            is_surplus = len(self._origins) > self._max_streams
            if not is_surplus and not self._is_old(recorded_at):
                return
            del self._origins[key]

    def _is_old(self, recorded_at: float) -> bool:
        age = self._clock.boottime() - recorded_at
        return age > STREAM_LIFETIME.total_seconds()
