"""
bergamotshed.routers.pool
~~~~~~~~~~~~~~~~~~~~~~~~~

Connections to the peers, opened when first used and closed when idle, because
in a large fleet a router exchanges messages with only some of its peers.
"""

__all__ = ('PeerConnectionPool',)

from collections.abc import Callable, Iterable
from datetime import timedelta

from zmq.asyncio import Context

from ..clock import Clock
from ..routing.view import RouterNode
from .connection import LateAnswerHandler, PeerConnection
from .messages import Hello

#: Time after which an unused connection is closed.
IDLE_TIMEOUT = timedelta(seconds=60)


class PeerConnectionPool:
    """Connections by peer name.

    :param node: this router's name
    :param hello: the first message on each connection
    :param count_bytes: called with the bytes sent and received
    :param on_late_answer: called for answers to abandoned questions
    """

    def __init__(
        self,
        context: Context,
        node: str,
        hello: Hello,
        clock: Clock,
        count_bytes: Callable[[int, int], None],
        on_late_answer: LateAnswerHandler,
    ) -> None:
        self._context = context
        self._node = node
        self._hello = hello
        self._clock = clock
        self._count_bytes = count_bytes
        self._on_late_answer = on_late_answer
        self._addresses: dict[str, str] = {}
        self._connections: dict[str, PeerConnection] = {}

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def __contains__(self, name: str) -> bool:
        """Return whether a peer is known."""
        return name in self._addresses

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names of all known peers, sorted."""
        return tuple(sorted(self._addresses))

    def set_peers(self, nodes: Iterable[RouterNode]) -> None:
        """Replace the list of peers; close connections to all others."""
        self._addresses = {
            node.name: node.peers for node in nodes if node.name != self._node
        }
        for name, connection in tuple(self._connections.items()):
            if self._addresses.get(name) != connection.address:
                connection.close()
                self._connections.pop(name)

    def get(self, name: str) -> PeerConnection | None:
        """Return the connection to a known peer; open it if necessary."""
        address = self._addresses.get(name)
        if address is None:
            return None
        connection = self._connections.get(name)
        if connection is None:
            connection = PeerConnection(
                self._context,
                self._node,
                name,
                address,
                self._count_bytes,
                self._on_late_answer,
            )
            connection.start(self._hello)
            self._connections[name] = connection
        connection.last_used_at = self._clock.monotonic()
        return connection

    def close_idle(self) -> None:
        """Close the connections that were unused for the idle timeout."""
        idle_since = self._clock.monotonic() - IDLE_TIMEOUT.total_seconds()
        for name, connection in tuple(self._connections.items()):
            if connection.last_used_at < idle_since:
                connection.close()
                self._connections.pop(name)
