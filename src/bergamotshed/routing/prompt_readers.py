"""
bergamotshed.routing.prompt_readers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which upstreams have read a shared prompt, as far as this router knows.

An upstream that reads a prompt for the first time can copy its cache from
one that has read it before, in a fraction of the time. This reduces the load
when upstreams join, leave or are full, as their subjects move to others.
"""

__all__ = ('MAX_SUBJECTS', 'PromptReaders', 'SharedPromptReaders')

from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Sequence
from datetime import timedelta

from ..clock import Clock
from ..upstreams.types import Incarnation

#: How long an upstream is assumed to cache a prompt after it last read it. A
#: wrong assumption costs a useless request from one upstream to another.
READ_LIFETIME = timedelta(seconds=60)
#: Subjects that are remembered; about 200 bytes each.
MAX_SUBJECTS = 50_000

_Readers = dict[Incarnation, float]


class SharedPromptReaders(ABC):
    """Shares the readers of prompts with other routers; override both."""

    @abstractmethod
    def record_read(self, parts: Sequence[str], reader: Incarnation) -> None:
        """Record that an upstream has just read these parts."""

    @abstractmethod
    async def fetch_readers(self, subject: str) -> None:
        """Fetch and remember the readers that other routers know."""


class PromptReaders:
    """Remembers the readers of each subject, the most recent ones first."""

    def __init__(self, clock: Clock, max_subjects: int = MAX_SUBJECTS) -> None:
        self._clock = clock
        self._max_subjects = max_subjects
        self._subjects: OrderedDict[str, _Readers] = OrderedDict()

    def __len__(self) -> int:
        """Return how many subjects are remembered."""
        return len(self._subjects)

    def record_read(self, parts: Sequence[str], reader: Incarnation) -> None:
        """Record that an upstream has just read these parts."""
        for part in parts:
            self._record(part, reader)

    def _record(self, subject: str, reader: Incarnation) -> None:
        readers = self._subjects.pop(subject, None) or {}
        readers.pop(reader, None)
        readers[reader] = self._clock.monotonic()
        self._subjects[subject] = readers
        if len(self._subjects) > self._max_subjects:
            self._subjects.popitem(last=False)

    def has_read(self, subject: str, reader: Incarnation) -> bool:
        """Return whether an upstream is assumed to cache a subject."""
        readers = self._subjects.get(subject)
        if readers is None:
            return False
        read_at = readers.get(reader)
        return read_at is not None and self._is_fresh(read_at)

    def readers(self, subject: str) -> list[Incarnation]:
        """Return the upstreams that cache a subject, the most recent reader
        first.
        """
        readers = self._subjects.get(subject, {})
        return [
            reader
            for reader, read_at in reversed(readers.items())
            if self._is_fresh(read_at)
        ]

    def _is_fresh(self, read_at: float) -> bool:
        age = self._clock.monotonic() - read_at
        return age < READ_LIFETIME.total_seconds()
