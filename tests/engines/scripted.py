"""A test server that answers each connection with given bytes."""

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

from tests.standins.rawupstream import reset_connection

#: Enough for the client to read the answer before the reset arrives.
RESET_DELAY_S = 0.05

HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Connection: close\r\n\r\n'
)


class ScriptedServer:
    """Answers connections and records the heads of their requests.

    :param answers: bytes for each connection, in order; the last repeats
    :param hang: keep connections open after the answer
    :param reset: reset connections some time after the answer
    :ivar received: heads of the requests, in order
    """

    def __init__(
        self,
        answers: Sequence[bytes],
        *,
        hang: bool = False,
        reset: bool = False,
    ) -> None:
        self._answers = list(answers)
        self._is_hanging = hang
        self._is_resetting = reset
        self._closing = asyncio.Event()
        self.received: list[bytes] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one connection."""
        self.received.append(await reader.readuntil(b'\r\n\r\n'))
        index = min(len(self.received), len(self._answers)) - 1
        writer.write(self._answers[index])
        await writer.drain()
        if self._is_hanging:
            await self._closing.wait()
        if self._is_resetting:
            await asyncio.sleep(RESET_DELAY_S)
            reset_connection(writer)
            return
        writer.close()

    def close(self) -> None:
        """Close the connections that were kept open."""
        self._closing.set()


@asynccontextmanager
async def scripted(
    *answers: bytes, hang: bool = False, reset: bool = False
) -> AsyncIterator[tuple[str, ScriptedServer]]:
    """Run a scripted server; yield its address and the server."""
    scripted_server = ScriptedServer(answers, hang=hang, reset=reset)
    server = await asyncio.start_server(scripted_server.serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f'{host}:{port}', scripted_server
    finally:
        scripted_server.close()
        server.close()
        await server.wait_closed()


def answer(status: str, body: bytes = b'', *headers: str) -> bytes:
    """Return the bytes of an HTTP answer."""
    lines = [
        f'HTTP/1.1 {status}',
        f'Content-Length: {len(body)}',
        'Connection: close',
        *headers,
    ]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body
