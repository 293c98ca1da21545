"""
bergamotshed.routers.prompthomes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Shares between routers which upstreams have read a prompt.

Each subject has a home among the routers. The home gets a report of every
first read and is asked by routers that know no reader. A router thus sends two
messages for each new pair of subject and upstream, however many routers there
are. When a home is lost, its knowledge is reported again to the next home over
time; meanwhile routers choose by the rendezvous order that they all share.
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
from .promptmessages import PromptRead, ReadersAnswer, ReadersRequest

#: How long a home may take to answer: several times the latency between
#: failure domains, a small part of the time that reading a prompt takes.
ASK_TIMEOUT = timedelta(milliseconds=15)
#: Time after which a read is reported to a home again if the prompt is still
#: used, well within the time for which the home remembers it.
RESEND_INTERVAL = timedelta(seconds=20)
#: Maximum number of readers in one answer; a cache copy needs only one that
#: still runs.
MAX_READERS = 8


class PromptHomes(SharedPromptReaders):
    """Reports reads to the homes of subjects, asks them, and acts as one.

    :param node: this router's name
    :param usable_routers: returns the names of the routers that may be homes,
        sorted, this one included
    :ivar memory: the readers that this router knows itself
    """

    def __init__(
        self,
        node: str,
        mesh: PeerMesh,
        usable_routers: Callable[[], Sequence[str]],
        clock: Clock,
    ) -> None:
        self.memory = PromptReaders(clock)
        self._node = node
        self._mesh = mesh
        self._usable_routers = usable_routers
        self._clock = clock
        self._home_readers = PromptReaders(clock)
        self._sent_reports: OrderedDict[
            tuple[str, Incarnation], tuple[str, float]
        ]
        self._sent_reports = OrderedDict()
        mesh.on_notice(PromptRead, self._handle_read)
        mesh.on_question(ReadersRequest, self._handle_readers_request)

    @property
    def home_subject_count(self) -> int:
        """Return the number of subjects whose home is this router."""
        return len(self._home_readers)

    def record_read(self, parts: Sequence[str], reader: Incarnation) -> None:
        """Record that an upstream has read these parts, and report it to the
        home of the last one, the subject.
        """
        self.memory.record_read(parts, reader)
        if parts:
            self._report_read(parts[-1], reader)

    async def fetch_readers(self, subject: str) -> None:
        """Ask the home of a subject for its readers and store them."""
        home = self._home_of(subject)
        if home == self._node:
            readers: Sequence[Incarnation] = self._home_readers.readers(subject)
        else:
            answer = await self._mesh.ask(
                home, ReadersRequest(subject), ASK_TIMEOUT
            )
            readers = (
                answer.readers if isinstance(answer, ReadersAnswer) else ()
            )
        for reader in reversed(readers):
            self.memory.record_read((subject,), reader)

    def _report_read(self, subject: str, reader: Incarnation) -> None:
        home = self._home_of(subject)
        if home == self._node:
            self._home_readers.record_read((subject,), reader)
            return
        now = self._clock.monotonic()
        sent_to, sent_at = self._sent_reports.get((subject, reader), ('', now))
        if sent_to == home and now - sent_at < RESEND_INTERVAL.total_seconds():
            return
        if not self._mesh.send(home, PromptRead(subject, *reader)):
            return
        self._sent_reports[(subject, reader)] = (home, now)
        self._sent_reports.move_to_end((subject, reader))
        if len(self._sent_reports) > MAX_SUBJECTS:
            self._sent_reports.popitem(last=False)

    def _home_of(self, subject: str) -> str:
        usable_routers = tuple(self._usable_routers())
        return (
            subject_order(subject, usable_routers)[0]
            if usable_routers
            else self._node
        )

    def _handle_read(self, _peer: str, read: PromptRead) -> None:
        self._home_readers.record_read(
            (read.subject,), (read.upstream, read.born)
        )

    async def _handle_readers_request(
        self, _peer: str, request: ReadersRequest
    ) -> Message:
        readers = self._home_readers.readers(request.subject)
        return ReadersAnswer(tuple(readers[:MAX_READERS]))
