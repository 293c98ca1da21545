"""
tests.soak.proxy
~~~~~~~~~~~~~~~~

A loopback proxy that can delay, stall, reset or refuse its connections.
"""

__all__ = ('FaultyProxy',)

import asyncio
import contextlib
from asyncio import StreamReader, StreamWriter

from tests.standins.rawupstream import reset_connection
from tests.waiting import until

BLOCK_BYTES = 65_536
MAX_SILENCE_S = 3600


class FaultyProxy:
    """Forwards connections to a target, ``ip:port``.

    :ivar delay_s: seconds by which each block is delayed
    :ivar silent_directions: directions in which nothing is forwarded: ``to``
        (towards the target), ``from`` or both
    :ivar is_refusing: new connections are reset at once
    """

    def __init__(self, target: str) -> None:
        self.address = ''
        self.delay_s = 0.0
        self.silent_directions: frozenset[str] = frozenset()
        self.is_refusing = False
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def reset_all(self) -> None:
        """Reset all open connections."""
        for writer in tuple(self._writers):
            with contextlib.suppress(OSError):
                reset_connection(writer)

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _accept(self, reader: StreamReader, writer: StreamWriter) -> None:
        task = asyncio.ensure_future(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        if self.is_refusing:
            reset_connection(writer)
            return
        host, port = self._target.split(':')
        with contextlib.suppress(OSError):
            target_reader, target_writer = await asyncio.open_connection(
                host, port
            )
            writers = {writer, target_writer}
            self._writers |= writers
            try:
                await asyncio.gather(
                    self._pipe(reader, target_writer, 'to'),
                    self._pipe(target_reader, writer, 'from'),
                )
            finally:
                self._writers -= writers
                for open_writer in writers:
                    open_writer.close()

    async def _pipe(
        self, reader: StreamReader, writer: StreamWriter, direction: str
    ) -> None:
        try:
            while block := await reader.read(BLOCK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await until(
                    lambda: direction not in self.silent_directions,
                    MAX_SILENCE_S,
                )
                writer.write(block)
                await writer.drain()
            writer.close()
        except ConnectionError:
            # Passes a reset on to the other side.
            with contextlib.suppress(OSError):
                reset_connection(writer)
