"""
bergamotshed.routers.storerelay
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reads topics of the store through a peer, so that the calls to the store don't
grow with the number of routers.

Positions are the store's own, so a router changes between its reader and the
store at any point without missing a change, and a reader with another history
has no answer. It reads the store itself while its reader does not answer, can't
read the store either, or has not read it recently enough.
"""

__all__ = ('StoreRelay',)

import math
from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta

from eliot import log_message

from ..clock import Clock
from ..routing.store_readers import find_reader
from ..store.recent_changes import RecentChanges
from ..store.types import (
    Changes,
    Entry,
    KeyedStore,
    Listing,
    Position,
    StoreError,
    StoreHistoryGone,
    Topic,
)
from .mesh import PeerMesh
from .messages import Message
from .storemessages import ChangesAnswer, ChangesRequest

#: How long a reader may take to acknowledge a question.
ASK_TIMEOUT = timedelta(milliseconds=100)
#: Longest time for which a reader holds an answer back; the store may do so for
#: longer, but a reader may freeze meanwhile.
MAX_HOLD = timedelta(milliseconds=1500)
#: How much later than that the answer may arrive.
HOLD_MARGIN = timedelta(milliseconds=150)
#: How long the store is read directly after a reader did not answer.
READER_RETRY_PAUSE = timedelta(seconds=3)
#: Accepted age of what a reader knows, as a multiple of the longest wait of its
#: reads, for topics without a bound.
MAX_AGE_IN_WAITS = 2
#: Shortest time for which a reader is asked to wait for a change.
MIN_HOLD = timedelta(milliseconds=20)
#: Longest wait of a reader's own reads, as a share of the accepted age. What it
#: knows was current when its last read began, so two reads fit into that age.
READER_WAIT_SHARE = 0.4
#: How long a router counts as a reader after a question.
READER_PERIOD_S = 5.0
#: Largest values that are relayed, in bytes; a reader sends one copy to each
#: router that it serves.
MAX_RELAYED_BYTES = 16_384

MILLISECOND = timedelta(milliseconds=1)
MILLISECONDS_PER_SECOND = 1000


class StoreRelay(KeyedStore):
    """Reads changes through the reader of a topic, or from the store.

    :param node: this router's name
    :param routers: returns the live routers of this failure domain
    :param max_ages: how long ago the store may have been read, by topic, until
        a router reads it itself; a reader can lose its way to the store without
        noticing
    """

    def __init__(
        self,
        store: KeyedStore,
        node: str,
        mesh: PeerMesh,
        routers: Callable[[], Sequence[str]],
        clock: Clock,
        max_ages: Mapping[Topic, timedelta],
    ) -> None:
        self._store = store
        self._node = node
        self._mesh = mesh
        self._routers = routers
        self._clock = clock
        self._max_ages = max_ages
        self._asked_at = dict.fromkeys(Topic, -math.inf)
        self._recent = {topic: RecentChanges() for topic in Topic}
        self._silent_until: dict[str, float] = {}
        mesh.on_question(ChangesRequest, self._answer)

    async def newest(self, topic: Topic) -> Listing:
        """List the newest value of each key, from the store itself."""
        return await self._store.newest(topic)

    async def put(self, topic: Topic, key: str, value: bytes) -> None:
        """Write the value of a key."""
        await self._store.put(topic, key, value)

    async def read(
        self, topic: Topic, start: Position, wait: timedelta
    ) -> Changes:
        """Read the changes from a position on.

        A read without a wait is for the present state and goes to the store.
        """
        called_at = self._clock.boottime()
        recent = self._recent[topic]
        try:
            changes = await self._read(topic, start, wait)
        except StoreHistoryGone as error:
            if error.era is None:
                recent.record_failure()
            else:
                recent.record_return(error.era)
            raise
        except StoreError:
            recent.record_failure()
            raise
        read_at = called_at - changes.age.total_seconds()
        recent.record(start, changes, read_at)
        return changes

    async def _read(
        self, topic: Topic, start: Position, wait: timedelta
    ) -> Changes:
        reader = find_reader(topic.value, self._node, self._routers())
        max_age = self._max_ages.get(topic, wait * MAX_AGE_IN_WAITS)
        own_wait = wait
        if self._is_reader(topic):
            own_wait = min(wait, max_age * READER_WAIT_SHARE)
        hold = min(wait, MAX_HOLD, self._remaining(topic, max_age))
        if reader is None or self._is_silent(reader) or hold < MIN_HOLD:
            return await self._store.read(topic, start, own_wait)
        answer = await self._mesh.ask(
            reader,
            ChangesRequest(
                topic.value,
                start.offset,
                hold // MILLISECOND,
                max_age // MILLISECOND,
                start.era,
            ),
            ASK_TIMEOUT,
            hold + HOLD_MARGIN,
        )
        if not isinstance(answer, ChangesAnswer):
            self._record_silent(reader, topic)
            return await self._store.read(topic, start, timedelta(0))
        if _is_later(answer.era, start.era):
            return await self._store.read(topic, start, timedelta(0))
        if not answer.is_known or answer.era != start.era:
            return await self._store.read(topic, start, own_wait)
        return Changes(
            tuple(Entry(key, value) for key, value in answer.entries),
            Position(answer.era, answer.end),
            is_relayed=True,
            age=answer.age * MILLISECOND,
        )

    def _is_reader(self, topic: Topic) -> bool:
        since_question_s = self._clock.boottime() - self._asked_at[topic]
        return since_question_s < READER_PERIOD_S

    def _remaining(self, topic: Topic, max_age: timedelta) -> timedelta:
        """Return the time until what this router knows is too old."""
        read_at = self._recent[topic].read_at
        if math.isinf(read_at):
            return max_age
        return max_age - timedelta(seconds=self._clock.boottime() - read_at)

    def _is_silent(self, reader: str) -> bool:
        return self._silent_until.get(reader, 0) > self._clock.boottime()

    def _record_silent(self, reader: str, topic: Topic) -> None:
        pause_s = READER_RETRY_PAUSE.total_seconds()
        self._silent_until[reader] = self._clock.boottime() + pause_s
        log_message(
            'store.reader_silent',
            reader=reader,
            topic=topic.value,
            pause_s=pause_s,
        )

    async def _answer(self, _peer: str, request: ChangesRequest) -> Message:
        """Answer a peer once there is a change or this router has read."""
        arrived_at = self._clock.boottime()
        topic = Topic(request.topic)
        self._asked_at[topic] = arrived_at
        recent = self._recent[topic]
        start = Position(request.era, request.start)
        changes = recent.since(start)
        if changes is not None and not changes.entries:
            await recent.wait(request.wait * MILLISECOND)
            changes = recent.since(start)
        if changes is None or _size(changes) > MAX_RELAYED_BYTES:
            return ChangesAnswer(is_known=False, era=recent.era)
        present_age_s = self._clock.boottime() - recent.read_at
        if present_age_s * MILLISECONDS_PER_SECOND > request.max_age:
            return ChangesAnswer(is_known=False, era=recent.era)
        age_s = arrived_at - recent.read_at
        age_ms = math.ceil(age_s * MILLISECONDS_PER_SECOND)
        return ChangesAnswer(
            is_known=True,
            entries=tuple(
                (entry.key, entry.value) for entry in changes.entries
            ),
            end=changes.end.offset,
            age=age_ms,
            era=changes.end.era,
        )


def _is_later(era: int | None, known: int | None) -> bool:
    return era is not None and known is not None and era > known


def _size(changes: Changes) -> int:
    return sum(len(entry.value) for entry in changes.entries)
