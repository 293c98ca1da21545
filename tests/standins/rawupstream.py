"""
tests.standins.rawupstream
~~~~~~~~~~~~~~~~~~~~~~~~~~

An upstream whose answers a script writes byte by byte.
"""

__all__ = ('RawRequest', 'RawUpstream', 'reset_connection', 'sealed_answer')

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RawRequest:
    """One request as it was received.

    :ivar connection: number of the connection, from 0
    """

    line: str
    headers: dict[str, str]
    body: bytes
    connection: int

    @property
    def attempt(self) -> str:
        """Return the request's attempt id."""
        return self.headers['bergamotshed-attempt-id']


Script = Callable[[RawRequest, asyncio.StreamWriter], Awaitable[None]]


class RawUpstream:
    """Passes each request to a script that writes the answer.

    :ivar requests: the requests, in order of arrival
    :ivar script: writes the answer to a request
    :ivar closed_connections: number of connections that the peer closed
    """

    def __init__(self, script: Script) -> None:
        self.address = ''
        self.requests: list[RawRequest] = []
        self.closed_connections = 0
        self._server: asyncio.Server | None = None
        self.script = script
        self._connections = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @asynccontextmanager
    async def serving(self) -> AsyncIterator['RawUpstream']:
        """Listen on a free loopback port until the context ends."""
        await self._listen(0)
        try:
            yield self
        finally:
            if self._server is not None:
                self._server.close()
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def crash(self) -> None:
        """Close the listener and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            reset_connection(writer)
        self._writers.clear()

    async def start_again(self) -> None:
        """Listen on the same address again after a crash."""
        await self._listen(int(self.address.rpartition(':')[2]))

    async def _listen(self, port: int) -> None:
        self._server = await asyncio.start_server(
            self._start, '127.0.0.1', port
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def _start(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = self._connections
        self._connections += 1
        self._writers.add(writer)
        task = asyncio.ensure_future(self._serve(reader, writer, number))
        self._tasks.add(task)

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        number: int,
    ) -> None:
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
                line, *rest = head.strip().split('\r\n')
                headers = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (part.partition(':') for part in rest)
                }
                body = await reader.readexactly(
                    int(headers.get('content-length', 0))
                )
                request = RawRequest(line, headers, body, number)
                self.requests.append(request)
                await self.script(request, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed_connections += 1
        finally:
            self._writers.discard(writer)
            writer.close()


def sealed_answer(
    request: RawRequest,
    body: bytes = b'ok',
    status: str = '200 OK',
    *,
    sized: bool = True,
    attempt: str | None = None,
    extra: str = '',
) -> bytes:
    """Return the bytes of an answer with a seal.

    :param sized: whether to send Content-Length
    :param attempt: attempt id of the answer; that of the request by default
    :param extra: one more header line
    """
    lines = [
        f'HTTP/1.1 {status}',
        f'Bergamotshed-Attempt-Id: {attempt or request.attempt}',
        'Bergamotshed-Response-Seal: seal',
    ]
    if sized:
        lines.append(f'Content-Length: {len(body)}')
    if extra:
        lines.append(extra)
    return '\r\n'.join((*lines, '', '')).encode() + body


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Reset the connection with RST instead of closing it with FIN."""
    raw = writer.get_extra_info('socket')
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
    writer.transport.abort()
