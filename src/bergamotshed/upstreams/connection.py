"""
bergamotshed.upstreams.connection
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One HTTP/1.1 connection to an upstream.

The usual HTTP clients hide what decides whether a request may have run: they
resend on a dropped connection, take a reset for the end of an unsized body
and hand bytes that follow an answer to the next request. This one reports
each of them.
"""

__all__ = ('UpstreamConnection',)

import asyncio
import socket
from typing import cast

from .parsing import AnswerParser
from .types import AnswerHead, UpstreamAnswerBroken

#: Bytes of a body that are read ahead of a slow caller.
READ_AHEAD_BYTES = 262_144


class UpstreamConnection(asyncio.Protocol):
    """Runs one exchange at a time.

    :param address: ``ip:port`` of the upstream
    :ivar idle_since: when it was put back into the pool, in monotonic seconds
    :ivar idle_limit: how long it may stay there, in seconds
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.idle_since: float = 0
        self.idle_limit: float = 0
        self._transport: asyncio.Transport | None = None
        self._answer: AnswerParser | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._failure = ''
        self._paused = False

    @property
    def is_reusable(self) -> bool:
        """Return whether the next request can be written."""
        transport = self._transport
        if self._failure or transport is None or transport.is_closing():
            return False
        answer = self._answer
        if answer is None:
            return True
        return (
            answer.is_complete
            and answer.keeps_connection_open
            and not answer.has_stray_bytes
        )

    def send(self, payload: bytes) -> bool:
        """Write one request; return whether any byte was written."""
        if not self.is_reusable:
            return False
        self._answer = AnswerParser(has_no_body=payload.startswith(b'HEAD '))
        cast(asyncio.Transport, self._transport).write(payload)
        return True

    async def read_head(self) -> AnswerHead:
        """Wait for the head of the answer.

        :raises UpstreamAnswerBroken: none came, or it is malformed
        """
        answer = cast(AnswerParser, self._answer)
        while answer.head is None:
            await self._wait()
        return answer.head

    async def read_part(self) -> bytes:
        """Wait for the next bytes of the body; empty at its end.

        :raises UpstreamAnswerBroken: the body broke off
        """
        answer = cast(AnswerParser, self._answer)
        while not answer.buffered and not answer.is_complete:
            await self._wait()
        part = answer.take_body()
        if self._paused:
            self._paused = False
            cast(asyncio.Transport, self._transport).resume_reading()
        return part

    def close(self) -> None:
        """Close at once; what still runs at the upstream is abandoned."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse what came; bytes that answer no request spoil it."""
        answer = self._answer
        if answer is None or answer.is_complete:
            self._fail('bytes without a request')
            self.close()
            return
        try:
            answer.feed(data)
        except UpstreamAnswerBroken as error:
            self._fail(str(error))
            self.close()
        if answer.buffered > READ_AHEAD_BYTES and not self._paused:
            self._paused = True
            cast(asyncio.Transport, self._transport).pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Note that the upstream closed the connection."""
        error = self._pending_error()
        if self._answer is not None and not error:
            self._answer.receive_eof()
        self._fail(f'the upstream closed the connection ({error})')
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail what still waits."""
        reason = 'closed' if exc is None else repr(exc)
        self._fail(f'the connection was lost: {reason}')

    def _pending_error(self) -> int:
        """Return the socket's error number, 0 for none.

        The event loop reports a reset that arrives together with data as
        an ordinary end of the connection.
        """
        raw = cast(asyncio.Transport, self._transport).get_extra_info('socket')
        if raw is None:
            return 0
        return int(raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))

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
