"""
bergamotshed.upstreams.connection
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One HTTP/1.1 connection to an upstream.

The usual HTTP clients hide what decides whether a request may have run: they
resend after a dropped connection, treat a reset as the end of a body without
a length, and use bytes after an answer as the answer to the next request.
This client reports each of these cases.
"""

__all__ = ('UpstreamConnection',)

import asyncio
import socket
from typing import cast

from .parsing import AnswerParser
from .types import AnswerHead, UpstreamAnswerBroken

#: Bytes of a body that are buffered for a slow caller before reading pauses.
READ_AHEAD_BYTES = 262_144


class UpstreamConnection(asyncio.Protocol):
    """One connection, which runs one exchange at a time.

    :param address: ``ip:port`` of the upstream
    :ivar idle_since: when it was released to the pool, in monotonic seconds
    :ivar idle_limit_s: how long it may stay idle, in seconds
    :ivar request_count: number of requests sent on it
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.idle_since: float = 0
        self.idle_limit_s: float = 0
        self.request_count = 0
        self._transport: asyncio.Transport | None = None
        self._parser: AnswerParser | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._failure = ''
        self._is_paused = False

    @property
    def is_reusable(self) -> bool:
        """Return whether another request can be sent on it."""
        transport = self._transport
        if self._failure or transport is None or transport.is_closing():
            return False
        parser = self._parser
        if parser is None:
            return True
        return (
            parser.is_complete
            and parser.keeps_connection_open
            and not parser.has_stray_bytes
        )

    def send(self, head: bytes, body: bytes = b'') -> bool:
        """Write one request; return whether any byte was written.

        Head and body are not joined, as a long body would be copied.
        """
        if not self.is_reusable:
            return False
        self.request_count += 1
        self._parser = AnswerParser(has_no_body=head.startswith(b'HEAD '))
        transport = cast(asyncio.Transport, self._transport)
        transport.writelines((head, body) if body else (head,))
        return True

    async def read_head(self) -> AnswerHead:
        """Wait for the head of the answer.

        :raises UpstreamAnswerBroken: it is missing or malformed
        """
        parser = cast(AnswerParser, self._parser)
        while parser.head is None:
            await self._wait()
        return parser.head

    async def read_part(self) -> bytes:
        """Wait for the next bytes of the body; empty at its end.

        :raises UpstreamAnswerBroken: the body is incomplete or malformed
        """
        parser = cast(AnswerParser, self._parser)
        while not parser.buffered and not parser.is_complete:
            await self._wait()
        part = parser.take_body()
        if self._is_paused:
            self._is_paused = False
            cast(asyncio.Transport, self._transport).resume_reading()
        return part

    async def read_body(self) -> bytes:
        """Wait for the whole rest of the body.

        :raises UpstreamAnswerBroken: the body is incomplete or malformed
        """
        pieces = []
        while piece := await self.read_part():
            pieces.append(piece)
        return b''.join(pieces)

    def close(self) -> None:
        """Abort the connection; a request in flight is abandoned."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse the data; bytes that answer no request fail the connection."""
        parser = self._parser
        if parser is None or parser.is_complete:
            self._fail('bytes without a request')
            self.close()
            return
        try:
            parser.feed(data)
        except UpstreamAnswerBroken as error:
            self._fail(str(error))
            self.close()
        if parser.buffered > READ_AHEAD_BYTES and not self._is_paused:
            self._is_paused = True
            cast(asyncio.Transport, self._transport).pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Fail the connection, which the upstream has closed."""
        error_number = self._socket_error()
        if self._parser is not None and not error_number:
            self._parser.receive_eof()
        self._fail(f'the upstream closed the connection ({error_number})')
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange that still waits, if any."""
        reason = 'closed' if exc is None else repr(exc)
        self._fail(f'the connection was lost: {reason}')

    def _socket_error(self) -> int:
        """Return the pending error number of the socket, 0 for none.

        Needed because the event loop reports a reset that arrives together
        with data as an ordinary end of the connection.
        """
        sock = cast(asyncio.Transport, self._transport).get_extra_info('socket')
        if sock is None:
            return 0
        return int(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))

    def _fail(self, reason: str) -> None:
        self._failure = self._failure or reason
        self._wake()

    async def _wait(self) -> None:
        if self._failure:
            raise UpstreamAnswerBroken(self._failure)
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
