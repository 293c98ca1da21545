"""
bergamotshed.routers.prompthomes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Shares which upstreams have read a prompt.

Each subject has a home among the routers, which is told of every first
reading and asked by routers that know of none. A router thus sends two
messages for each new pair of subject and upstream, however many routers there
are. What a home knew is lost with it and told again over time; meanwhile
routers go by the common order.
"""

__all__ = ('PromptHomes',)

from collections import OrderedDict
from collections.abc import Callable, Sequence
from datetime import timedelta

from ..clock import Clock
from ..routing.cache_source import subject_order
from ..routing.prompt_readers import (
    MAX_SUBJECTS,
    PromptReaders,
    SharedPromptReaders,
)
from ..upstreams.types import Incarnation
from .mesh import PeerMesh
from .messages import Message
from .promptmessages import PromptRead, Readers, ReadersAsk

#: How long a home may take to answer: several times the way between domains,
#: a small part of the time in which a prompt is read.
ASK_TIMEOUT = timedelta(milliseconds=15)
#: After how long a home is told again of a reading that goes on, well within
#: the time for which it remembers one.
TELL_AGAIN = timedelta(seconds=20)
#: Readers in one answer; a copy needs one that still lives.
MOST_READERS = 8


class PromptHomes(SharedPromptReaders):
    """Tells and asks the homes of subjects, and is one.

    :param node: this router's name
    :param usable: gives the names of the routers that may be homes, sorted,
        this one included
    :ivar memory: what this router knows
    """

    def __init__(
        self,
        node: str,
        mesh: PeerMesh,
        usable: Callable[[], Sequence[str]],
        clock: Clock,
    ) -> None:
        self.memory = PromptReaders(clock)
        self._node = node
        self._mesh = mesh
        self._usable = usable
        self._clock = clock
        self._directory = PromptReaders(clock)
        self._told: OrderedDict[tuple[str, Incarnation], tuple[str, float]]
        self._told = OrderedDict()
        mesh.on_notice(PromptRead, self._take)
        mesh.on_question(ReadersAsk, self._answer)

    @property
    def home_of(self) -> int:
        """Return of how many subjects with readers this router is home."""
        return len(self._directory)

    def record_read(self, parts: Sequence[str], reader: Incarnation) -> None:
        """Note that an upstream has read these parts; tell the home of the
        last one, the subject.
        """
        self.memory.record_read(parts, reader)
        if parts:
            self._tell(parts[-1], reader)

    async def fetch_readers(self, subject: str) -> None:
        """Ask the home of a subject for its readers and remember them."""
        home = self._home(subject)
        if home == self._node:
            readers: Sequence[Incarnation] = self._directory.readers(subject)
        else:
            answer = await self._mesh.ask(
                home, ReadersAsk(subject), ASK_TIMEOUT
            )
            readers = answer.readers if isinstance(answer, Readers) else ()
        for reader in reversed(readers):
            self.memory.record_read((subject,), reader)

    def _tell(self, subject: str, reader: Incarnation) -> None:
        home = self._home(subject)
        if home == self._node:
            self._directory.record_read((subject,), reader)
            return
        now = self._clock.monotonic()
        told_to, told_at = self._told.get((subject, reader), ('', now))
        if told_to == home and now - told_at < TELL_AGAIN.total_seconds():
            return
        if not self._mesh.send(home, PromptRead(subject, *reader)):
            return
        self._told[(subject, reader)] = (home, now)
        self._told.move_to_end((subject, reader))
        if len(self._told) > MAX_SUBJECTS:
            self._told.popitem(last=False)

    def _home(self, subject: str) -> str:
        usable = tuple(self._usable())
        return subject_order(subject, usable)[0] if usable else self._node

    def _take(self, _peer: str, read: PromptRead) -> None:
        self._directory.record_read((read.subject,), (read.upstream, read.born))

    async def _answer(self, _peer: str, ask: ReadersAsk) -> Message:
        readers = self._directory.readers(ask.subject)
        return Readers(tuple(readers[:MOST_READERS]))
