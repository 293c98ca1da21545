"""
tests.forwarding.broken_peer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

An upstream's side of a connection without a socket: any bytes, in any
segments, with any end, and a sink that records what the caller would see.
"""

__all__ = ('Ending', 'RecordingSink', 'SegmentedPool', 'UnobservedExchange')

import asyncio
import errno
from collections.abc import Sequence
from enum import Enum
from typing import Any

from bergamotshed.clock import SystemClock
from bergamotshed.forwarding.exchange import ExchangeObserver
from bergamotshed.forwarding.types import (
    AnswerMetadata,
    AnswerSink,
    CallerHeaders,
)
from bergamotshed.upstreams.connection import UpstreamConnection
from bergamotshed.upstreams.pool import ConnectionPool, PoolOptions
from bergamotshed.upstreams.types import Instance, ReportedLoad


class Ending(Enum):
    """How the upstream's side of a connection ends.

    :cvar CLOSE: an ordinary end (FIN)
    :cvar RESET: a reset, reported as an error
    :cvar RESET_WITH_DATA: a reset that the event loop reports as an ordinary
        end, with the error still pending on the socket
    """

    CLOSE = 'close'
    RESET = 'reset'
    RESET_WITH_DATA = 'reset_with_data'


class ScriptedSocket:
    """A socket with a pending error."""

    def __init__(self) -> None:
        self.pending_error = 0

    def getsockopt(self, _level: int, _name: int) -> int:
        """Return the pending error and clear it, as the kernel does."""
        error, self.pending_error = self.pending_error, 0
        return error


class ScriptedTransport(asyncio.Transport):
    """Gives a connection segments and an end once a request was written."""

    def __init__(
        self,
        connection: UpstreamConnection,
        segments: Sequence[bytes],
        ending: Ending,
    ) -> None:
        super().__init__()
        self._connection = connection
        self._segments = segments
        self._ending = ending
        self._socket = ScriptedSocket()
        self._has_ended = False
        self._delivery: asyncio.Task[None] | None = None

    def get_extra_info(self, _name: str, _default: Any = None) -> Any:
        """Return the socket."""
        return self._socket

    def is_closing(self) -> bool:
        """Return whether the connection has ended."""
        return self._has_ended

    def write(self, _payload: Any) -> None:
        """Start to answer."""
        self._delivery = asyncio.ensure_future(self._deliver())

    def abort(self) -> None:
        """End the connection."""
        if not self._has_ended:
            self._has_ended = True
            self._connection.connection_lost(None)

    def pause_reading(self) -> None:
        """Do nothing; the answers are small."""

    def resume_reading(self) -> None:
        """Do nothing; the answers are small."""

    async def _deliver(self) -> None:
        for segment in self._segments:
            await asyncio.sleep(0)
            if self._has_ended:
                return
            self._connection.data_received(segment)
        if self._ending is not Ending.RESET_WITH_DATA:
            await asyncio.sleep(0)
        if self._has_ended:
            return
        self._has_ended = True
        if self._ending is Ending.RESET:
            error = ConnectionResetError(errno.ECONNRESET, 'reset')
            self._connection.connection_lost(error)
            return
        if self._ending is Ending.RESET_WITH_DATA:
            self._socket.pending_error = errno.ECONNRESET
        self._connection.eof_received()
        self._connection.connection_lost(None)


class SegmentedPool(ConnectionPool):
    """Opens connections whose upstream sends the given segments.

    :param segments: the bytes, in the pieces in which they are received
    """

    def __init__(self, segments: Sequence[bytes], ending: Ending) -> None:
        super().__init__(PoolOptions(), SystemClock())
        self._segments = segments
        self._ending = ending
        self.released: list[UpstreamConnection] = []

    async def acquire(
        self, address: str, *, repeatable: bool, must_be_new: bool = False
    ) -> UpstreamConnection:
        """Return a new connection."""
        connection = UpstreamConnection(address)
        connection.connection_made(
            ScriptedTransport(connection, self._segments, self._ending)
        )
        return connection

    def release(
        self, connection: UpstreamConnection, keep_alive_s: float | None
    ) -> None:
        """Record that the connection may be reused."""
        self.released.append(connection)


class RecordingSink(AnswerSink):
    """Records what a caller would see.

    :ivar status: status of the answer; ``None`` if its head was not sent
    :ivar is_finished: the answer was ended as complete
    """

    def __init__(self) -> None:
        self.status: int | None = None
        self.body = b''
        self.is_finished = False

    async def start(self, status: int, headers: CallerHeaders) -> None:
        """Record the head."""
        self.status = status

    async def write(self, piece: bytes) -> None:
        """Record a piece."""
        self.body += piece

    async def finish(self) -> None:
        """Record the end."""
        self.is_finished = True

    def abort(self) -> None:
        """Do nothing; the answer stays unfinished."""


class UnobservedExchange(ExchangeObserver):
    """Ignores what it is notified of."""

    def record_load(self, instance: Instance, load: ReportedLoad) -> None:
        """Ignore the load."""

    def record_limits(
        self, instance: Instance, metadata: AnswerMetadata
    ) -> None:
        """Ignore the limit."""

    def record_start(self, instance: Instance) -> None:
        """Ignore the start."""

    def record_events(self, instance: Instance) -> None:
        """Ignore the event."""
