"""
tests.relay
~~~~~~~~~~~

A TCP relay that can be cut, to partition one router from a stand-in.
"""

__all__ = ('Relay',)

import asyncio
import contextlib
from asyncio import StreamReader, StreamWriter

BLOCK_BYTES = 1 << 16


class Relay:
    """Forwards TCP connections to a target, ``ip:port``."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[StreamWriter] = set()
        self._is_cut = False
        self._is_open = asyncio.Event()
        self._is_open.set()
        self.address = ''

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def cut(self) -> None:
        """Close all connections, and each new one when it is accepted."""
        self._is_cut = True
        for writer in self._writers:
            writer.close()

    def silence(self) -> None:
        """Hold all bytes back; no connection is closed."""
        self._is_open.clear()

    def restore(self) -> None:
        """Forward new connections again."""
        self._is_cut = False
        self._is_open.set()

    def close(self) -> None:
        """Close all connections and stop listening."""
        self.cut()
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        if self._is_cut:
            writer.close()
            return
        host, port = self._target.split(':')
        with contextlib.suppress(OSError):
            target_reader, target_writer = await asyncio.open_connection(
                host, port
            )
            self._writers |= {writer, target_writer}
            await asyncio.gather(
                self._copy(reader, target_writer),
                self._copy(target_reader, writer),
            )
            self._writers -= {writer, target_writer}

    async def _copy(self, reader: StreamReader, writer: StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while block := await reader.read(BLOCK_BYTES):
                await self._is_open.wait()
                writer.write(block)
                await writer.drain()
        writer.close()
