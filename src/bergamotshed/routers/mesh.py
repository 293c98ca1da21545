"""
bergamotshed.routers.mesh
~~~~~~~~~~~~~~~~~~~~~~~~~

Sockets between routers: one ROUTER socket that receives from all peers and a
DEALER socket for questions to each peer. An answer returns on the connection
of its question, so a peer can answer a router that is not in its list.
"""

__all__ = ('CountTraffic', 'MeshCounters', 'PeerMesh')

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

#: Kind of peer under which control traffic between routers is counted.
PEER_KIND = 'routers'

_M = TypeVar('_M')
_LateAnswerHandler = Callable[[str, object, Message], None]

#: Called with the kind of peer and the bytes sent and received.
CountTraffic = Callable[[str, int, int], None]


class PeerMesh:
    """Sends messages to the other routers and receives theirs.

    :param node: this router's name, its identity on every connection
    :param address: ``ip:port`` to bind; port 0 takes any free port
    :param incarnation: grows when this router restarts; by default the
        wall-clock time in milliseconds
    :ivar hellos: the last hello of each peer
    :ivar pool: the connections to the peers
    """

    def __init__(
        self,
        node: str,
        address: str,
        clock: Clock,
        traffic: CountTraffic,
        incarnation: int | None = None,
    ) -> None:
        if incarnation is None:
            incarnation = int(clock.now().timestamp() * 1000)
        self.incarnation = incarnation
        self.counters = MeshCounters()
        self.hellos: dict[str, Hello] = {}
        self._node = node
        self._count_bytes = partial(traffic, PEER_KIND)
        self._context = Context()
        self._inbox = Inbox(
            self._context, address, self._count_bytes, self.counters
        )
        self._late_answer_handlers: dict[type, _LateAnswerHandler] = {}
        self.pool = PeerConnectionPool(
            self._context,
            node,
            Hello(PROTOCOL_VERSION, incarnation),
            clock,
            self._count_bytes,
            self._handle_late_answer,
        )
        self.on_notice(Hello, self._receive_hello)

    @property
    def address(self) -> str:
        """Return the bound ``ip:port``."""
        return self._inbox.address

    @property
    def peers(self) -> tuple[str, ...]:
        """Return the names of all known peers, sorted."""
        return self.pool.names

    def on_notice(
        self, message_type: type[_M], handler: Callable[[str, _M], None]
    ) -> None:
        """Call the handler with the sender and each message of the type."""
        self._inbox.notice_handlers[message_type] = cast(NoticeHandler, handler)

    def on_question(
        self,
        message_type: type[_M],
        handler: Callable[[str, _M], Awaitable[Message]],
    ) -> None:
        """Answer each question of the type with the handler's result."""
        self._inbox.question_handlers[message_type] = cast(
            QuestionHandler, handler
        )

    def on_late_answer(
        self,
        message_type: type[_M],
        handler: Callable[[str, _M, Message], None],
    ) -> None:
        """Call the handler with the peer, the question and its answer when
        a question of that type is answered after it was given up.
        """
        self._late_answer_handlers[message_type] = cast(
            _LateAnswerHandler, handler
        )

    async def start(self) -> None:
        """Bind the socket and start receiving."""
        self._inbox.start()

    async def close(self) -> None:
        """Close every socket at once; open questions fail."""
        self.set_peers(())
        await self._inbox.close()
        self._context.destroy(0)

    def set_peers(self, nodes: Iterable[RouterNode]) -> None:
        """Replace the list of peers; close connections to all others."""
        self.pool.set_peers(nodes)

    def send(self, peer: str, message: Message) -> bool:
        """Send without waiting; return whether it was queued."""
        connection = self.pool.get(peer)
        is_sent = connection is not None and connection.send(0, message)
        if not is_sent:
            self.counters.dropped += 1
        return is_sent

    async def ask(
        self,
        peer: str,
        message: Message,
        timeout: timedelta,
        pending_timeout: timedelta | None = None,
    ) -> Message | NoAnswer:
        """Send a question to a peer and wait for its answer.

        :param timeout: how long to wait for the answer or an
            :class:`AnswerPending`
        :param pending_timeout: how long to wait for the answer after an
            :class:`AnswerPending`; the timeout by default
        """
        connection = self.pool.get(peer)
        if connection is None:
            return NoAnswer(peer, NoAnswerReason.UNKNOWN_PEER, is_sent=False)
        return await connection.ask(
            message, timeout, pending_timeout or timeout
        )

    def _receive_hello(self, peer: str, hello: Hello) -> None:
        previous = self.hellos.get(peer)
        self.hellos[peer] = hello
        if previous is not None and previous.incarnation != hello.incarnation:
            self.send(peer, Hello(PROTOCOL_VERSION, self.incarnation))

    def _handle_late_answer(
        self, peer: str, question: Message, answer: Message
    ) -> None:
        self.counters.late += 1
        handler = self._late_answer_handlers.get(type(question))
        if handler is not None:
            handler(peer, question, answer)
