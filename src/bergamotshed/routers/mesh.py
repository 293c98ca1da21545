"""
bergamotshed.routers.mesh
~~~~~~~~~~~~~~~~~~~~~~~~~

Sockets between routers: one ROUTER that hears everybody, and for each peer
a DEALER that asks it. Answers come back on the asker's own connection, so
that a peer need not list the asker.
"""

__all__ = ('MeshCounters', 'PeerMesh', 'TrafficCounter')

from collections.abc import Awaitable, Callable, Iterable
from datetime import timedelta
from functools import partial
from typing import TypeVar, cast

from zmq.asyncio import Context

from ..clock import Clock
from ..routing.view import RouterNode
from .errors import NoAnswer, NoAnswerReason
from .inbox import Inbox, MeshCounters, NoticeHandler, QuestionHandler
from .messages import PROTOCOL_VERSION, Hello, Message
from .pool import PeerConnectionPool

#: The kind of peer under which bytes are counted.
PEER_KIND = 'routers'

_M = TypeVar('_M')
_Late = Callable[[str, object, Message], None]

#: Called with the kind of peer and the bytes sent and received.
TrafficCounter = Callable[[str, int, int], None]


class PeerMesh:
    """Talks to the other routers.

    :param node: this router's name, its identity on every connection
    :param address: ``ip:port`` to bind; port 0 takes any
    :param incarnation: grows when this router restarts; by default the
        wall-clock time in milliseconds
    :ivar protocols: what each peer said first
    :ivar pool: the connections
    """

    def __init__(
        self,
        node: str,
        address: str,
        clock: Clock,
        traffic: TrafficCounter,
        incarnation: int | None = None,
    ) -> None:
        if incarnation is None:
            incarnation = int(clock.now().timestamp() * 1000)
        self.incarnation = incarnation
        self.counters = MeshCounters()
        self.hellos: dict[str, Hello] = {}
        self._node = node
        self._count = partial(traffic, PEER_KIND)
        self._context = Context()
        self._inbox = Inbox(self._context, address, self._count, self.counters)
        self._late: dict[type, _Late] = {}
        self.pool = PeerConnectionPool(
            self._context,
            node,
            Hello(PROTOCOL_VERSION, incarnation),
            clock,
            self._count,
            self._take_late,
        )
        self.on_notice(Hello, self._greet)

    @property
    def address(self) -> str:
        """Return the bound ``ip:port``."""
        return self._inbox.address

    @property
    def peers(self) -> tuple[str, ...]:
        """Return the names of all known peers, sorted."""
        return self.pool.names

    def on_notice(
        self, kind: type[_M], handler: Callable[[str, _M], None]
    ) -> None:
        """Call the handler with the sender for each message of the type."""
        self._inbox.notice_handlers[kind] = cast(NoticeHandler, handler)

    def on_question(
        self, kind: type[_M], handler: Callable[[str, _M], Awaitable[Message]]
    ) -> None:
        """Answer each question of the type by the handler's result."""
        self._inbox.question_handlers[kind] = cast(QuestionHandler, handler)

    def on_late_answer(
        self, kind: type[_M], handler: Callable[[str, _M, Message], None]
    ) -> None:
        """Call the handler with the peer, the question and its answer when
        nobody waits any more for the answer to a question of that type.
        """
        self._late[kind] = cast(_Late, handler)

    async def start(self) -> None:
        """Bind the socket and begin to listen."""
        self._inbox.start()

    async def close(self) -> None:
        """Close every socket at once; questions end unanswered."""
        self.set_peers(())
        await self._inbox.close()
        self._context.destroy(0)

    def set_peers(self, nodes: Iterable[RouterNode]) -> None:
        """Know these routers and drop the connections to all others."""
        self.pool.set_peers(nodes)

    def send(self, peer: str, message: Message) -> bool:
        """Send without waiting; return whether it was queued."""
        connection = self.pool.get(peer)
        sent = connection is not None and connection.send(0, message)
        if not sent:
            self.counters.dropped += 1
        return sent

    async def ask(
        self,
        peer: str,
        message: Message,
        timeout: timedelta,
        pending_timeout: timedelta | None = None,
    ) -> Message | NoAnswer:
        """Ask a peer.

        :param timeout: how long to wait for a sign of the peer
        :param patience: how long to wait for the answer once the peer has
            said that it takes longer; by default the timeout again
        """
        connection = self.pool.get(peer)
        if connection is None:
            return NoAnswer(peer, NoAnswerReason.UNKNOWN_PEER, is_sent=False)
        return await connection.ask(
            message, timeout, pending_timeout or timeout
        )

    def _greet(self, peer: str, hello: Hello) -> None:
        known = self.hellos.get(peer)
        self.hellos[peer] = hello
        if known is not None and known.incarnation != hello.incarnation:
            self.send(peer, Hello(PROTOCOL_VERSION, self.incarnation))

    def _take_late(self, peer: str, question: Message, answer: Message) -> None:
        self.counters.late += 1
        handler = self._late.get(type(question))
        if handler is not None:
            handler(peer, question, answer)
