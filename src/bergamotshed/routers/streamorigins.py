"""
bergamotshed.routers.streamorigins
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Keeps the origin of each stream at several routers, as its caller may resume it
at any router after the one that began it is lost.

The routers that follow a stream on a hash ring hold its origin. A router that
does not know an origin asks them.
"""

__all__ = ('StreamOrigins',)

import asyncio
from collections.abc import Callable, Sequence
from datetime import timedelta

from ..clock import Clock
from ..routing.hashing import stable_hash, successors
from ..routing.stream_origins import (
    OriginUnknown,
    SharedStreamOrigins,
    StreamOrigin,
    StreamOriginMemory,
)
from ..routing.view import RouterNode
from .mesh import PeerMesh
from .messages import Message
from .originmessages import OriginAnswer, OriginRequest, StreamBegun

#: Routers that hold an origin beside the one that began the stream, so that it
#: outlives the loss of any two or three at once.
HOLDERS = 3
#: Routers that are asked: the holders may have been chosen from another list.
ASKED_ROUTERS = 2 * HOLDERS
#: How long a router may take to answer: several times the latency between
#: failure domains.
ASK_TIMEOUT = timedelta(milliseconds=40)


class StreamOrigins(SharedStreamOrigins):
    """Sends origins to their holders, asks these, and acts as one.

    :param node: this router's name
    :param listed_routers: returns all listed routers
    :param usable_routers: returns the names of the live routers, sorted
    :ivar memory: the origins that this router knows itself
    """

    def __init__(
        self,
        node: str,
        mesh: PeerMesh,
        listed_routers: Callable[[], Sequence[RouterNode]],
        usable_routers: Callable[[], tuple[str, ...]],
        clock: Clock,
    ) -> None:
        self.memory = StreamOriginMemory(clock)
        self._node = node
        self._mesh = mesh
        self._listed_routers = listed_routers
        self._usable_routers = usable_routers
        mesh.on_notice(StreamBegun, self._receive_origin)
        mesh.on_question(OriginRequest, self._answer_request)

    def record(self, attempt_id: str, origin: StreamOrigin) -> None:
        """Record an origin and send it to its holders."""
        key = _stream_key(attempt_id)
        self.memory.record(key, origin)
        notice = StreamBegun(key, origin.service, origin.version)
        sent_count = 0
        for router in self._holders(key, self._usable_routers()):
            sent_count += self._mesh.send(router, notice)
            if sent_count == HOLDERS:
                return

    async def find(self, attempt_id: str) -> StreamOrigin | OriginUnknown:
        """Return an origin from memory or from the first router that knows."""
        key = _stream_key(attempt_id)
        known = self.memory.find(key)
        if known is not None:
            return known
        names = tuple(sorted(node.name for node in self._listed_routers()))
        tasks = [
            asyncio.ensure_future(self._ask(holder, key))
            for holder in self._holders(key, names)
        ]
        try:
            return await self._first_known(tasks)
        finally:
            for task in tasks:
                task.cancel()

    async def _first_known(
        self, tasks: Sequence['asyncio.Future[StreamOrigin | OriginUnknown]']
    ) -> StreamOrigin | OriginUnknown:
        failure = OriginUnknown.NOT_FOUND
        for answered in asyncio.as_completed(tasks):
            answer = await answered
            if isinstance(answer, StreamOrigin):
                return answer
            if answer is OriginUnknown.UNANSWERED:
                failure = answer
        return failure

    async def _ask(self, holder: str, key: int) -> StreamOrigin | OriginUnknown:
        answer = await self._mesh.ask(holder, OriginRequest(key), ASK_TIMEOUT)
        if not isinstance(answer, OriginAnswer):
            return OriginUnknown.UNANSWERED
        if not answer.is_known:
            return OriginUnknown.NOT_FOUND
        return StreamOrigin(answer.service, answer.version)

    def _holders(self, key: int, names: tuple[str, ...]) -> list[str]:
        """Return the routers that may hold an origin, the likeliest first."""
        following = successors(key, names, ASKED_ROUTERS + 1)
        others = [name for name in following if name != self._node]
        return others[:ASKED_ROUTERS]

    def _receive_origin(self, _peer: str, notice: StreamBegun) -> None:
        self.memory.record(
            notice.stream, StreamOrigin(notice.service, notice.version)
        )

    async def _answer_request(
        self, _peer: str, request: OriginRequest
    ) -> Message:
        origin = self.memory.find(request.stream)
        if origin is None:
            return OriginAnswer()
        return OriginAnswer(
            is_known=True, service=origin.service, version=origin.version
        )


def _stream_key(attempt_id: str) -> int:
    return stable_hash('stream', attempt_id)
