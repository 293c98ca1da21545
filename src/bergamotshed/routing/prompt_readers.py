"""
bergamotshed.routing.prompt_readers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which upstreams have read a shared prompt, as far as this router knows.

An upstream that reads a prompt for the first time can copy it from one that
has read it before, in a fraction of the time. Answers the load of upstreams
that join, leave or are full: their subjects move to others.
"""

__all__ = ('MAX_SUBJECTS', 'PromptReaders', 'SharedPromptReaders')

from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Sequence
from datetime import timedelta

from ..clock import Clock
from ..upstreams.types import Incarnation

#: How long an upstream is taken to keep a prompt that it has not met again.
#: A wrong guess costs a fruitless question between two upstreams.
READ_LIFETIME = timedelta(seconds=60)
#: Subjects that are remembered; about 200 bytes each.
MAX_SUBJECTS = 50_000

_Readers = dict[Incarnation, float]


class SharedPromptReaders(ABC):
    """Shares who has read a prompt with other routers; override both."""

    @abstractmethod
    def record_read(self, parts: Sequence[str], reader: Incarnation) -> None:
        """Note that an upstream has read these parts now."""

    @abstractmethod
    async def fetch_readers(self, subject: str) -> None:
        """Remember the readers that other routers know of."""


class PromptReaders:
    """Remembers the readers of each subject, the most recent ones first."""

    def __init__(self, clock: Clock, max_subjects: int = MAX_SUBJECTS) -> None:
        self._clock = clock
        self._most = max_subjects
        self._subjects: OrderedDict[str, _Readers] = OrderedDict()

    def __len__(self) -> int:
        """Return how many subjects are remembered."""
        return len(self._subjects)

    def record_read(self, parts: Sequence[str], reader: Incarnation) -> None:
        """Note that an upstream has read these parts now."""
        for part in parts:
            self._note(part, reader)

    def _note(self, subject: str, reader: Incarnation) -> None:
        readers = self._subjects.pop(subject, None) or {}
        readers.pop(reader, None)
        readers[reader] = self._clock.monotonic()
        self._subjects[subject] = readers
        if len(self._subjects) > self._most:
            self._subjects.popitem(last=False)

    def has_read(self, subject: str, reader: Incarnation) -> bool:
        """Tell whether an upstream is taken to keep a subject."""
        readers = self._subjects.get(subject)
        if readers is None:
            return False
        read_at = readers.get(reader)
        return read_at is not None and self._is_fresh(read_at)

    def readers(self, subject: str) -> list[Incarnation]:
        """Return the upstreams that keep a subject, the most recent reader
        first.
        """
        readers = self._subjects.get(subject, {})
        return [
            key
            for key, read_at in reversed(readers.items())
            if self._is_fresh(read_at)
        ]

    def _is_fresh(self, read_at: float) -> bool:
        age = self._clock.monotonic() - read_at
        return age < READ_LIFETIME.total_seconds()
