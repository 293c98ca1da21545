"""
bergamotshed.routers.pool
~~~~~~~~~~~~~~~~~~~~~~~~~

The connections to the peers that this router talks to; made when first
used and closed when idle, as a large fleet has more peers than a router
has business with.
"""

__all__ = ('PeerConnectionPool',)

from collections.abc import Callable, Iterable
from datetime import timedelta

from zmq.asyncio import Context

from ..clock import Clock
from ..routing.view import RouterNode
from .connection import LateAnswerHandler, PeerConnection
from .messages import Hello

#: A connection that was not used for so long is closed.
IDLE_TIMEOUT = timedelta(seconds=60)


class PeerConnectionPool:
    """Connections by peer name.

    :param node: this router's name
    :param hello: the first message on each connection
    :param count_bytes: called with the bytes sent and received
    :param late: takes answers that nobody waits for any more
    """

    def __init__(
        self,
        context: Context,
        node: str,
        hello: Hello,
        clock: Clock,
        count_bytes: Callable[[int, int], None],
        late: LateAnswerHandler,
    ) -> None:
        self._context = context
        self._node = node
        self._hello = hello
        self._clock = clock
        self._count = count_bytes
        self._late = late
        self._addresses: dict[str, str] = {}
        self._open: dict[str, PeerConnection] = {}

    def __len__(self) -> int:
        """Return how many connections are open."""
        return len(self._open)

    def __contains__(self, name: str) -> bool:
        """Tell whether a peer is known."""
        return name in self._addresses

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names of all known peers, sorted."""
        return tuple(sorted(self._addresses))

    def set_peers(self, nodes: Iterable[RouterNode]) -> None:
        """Know these routers and drop the connections to all others."""
        self._addresses = {
            node.name: node.peers for node in nodes if node.name != self._node
        }
        for name, connection in tuple(self._open.items()):
            if self._addresses.get(name) != connection.address:
                connection.close()
                self._open.pop(name)

    def get(self, name: str) -> PeerConnection | None:
        """Return the connection to a known peer, made if need be."""
        address = self._addresses.get(name)
        if address is None:
            return None
        connection = self._open.get(name)
        if connection is None:
            connection = PeerConnection(
                self._context,
                self._node,
                name,
                address,
                self._count,
                self._late,
            )
            connection.start(self._hello)
            self._open[name] = connection
        connection.last_used_at = self._clock.monotonic()
        return connection

    def close_idle(self) -> None:
        """Close the connections that have not been used for long."""
        horizon = self._clock.monotonic() - IDLE_TIMEOUT.total_seconds()
        for name, connection in tuple(self._open.items()):
            if connection.last_used_at < horizon:
                connection.close()
                self._open.pop(name)
