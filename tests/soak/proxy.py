"""
tests.soak.proxy
~~~~~~~~~~~~~~~~

A loopback proxy that delays, silences or resets the connections it passes on.
"""

__all__ = ('FaultyProxy',)

import asyncio
import contextlib
from asyncio import StreamReader, StreamWriter

from tests.standins.rawupstream import reset_connection
from tests.waiting import until

BLOCK_BYTES = 65_536
FOREVER_S = 3600


class FaultyProxy:
    """Passes connections on to a target, ``ip:port``.

    :ivar delay: seconds that each block waits
    :ivar silent: directions that pass nothing: ``to``, ``from`` or both
    :ivar refusing: new connections are reset at once
    """

    def __init__(self, target: str) -> None:
        self.address = ''
        self.delay = 0.0
        self.silent: frozenset[str] = frozenset()
        self.refusing = False
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
        """Stop listening and drop everything."""
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
        if self.refusing:
            reset_connection(writer)
            return
        host, port = self._target.split(':')
        with contextlib.suppress(OSError):
            far_reader, far_writer = await asyncio.open_connection(host, port)
            pair = {writer, far_writer}
            self._writers |= pair
            try:
                await asyncio.gather(
                    self._pipe(reader, far_writer, 'to'),
                    self._pipe(far_reader, writer, 'from'),
                )
            finally:
                self._writers -= pair
                for end in pair:
                    end.close()

    async def _pipe(
        self, reader: StreamReader, writer: StreamWriter, direction: str
    ) -> None:
        try:
            while block := await reader.read(BLOCK_BYTES):
                if self.delay:
                    await asyncio.sleep(self.delay)
                await until(lambda: direction not in self.silent, FOREVER_S)
                writer.write(block)
                await writer.drain()
            writer.close()
        except ConnectionError:
            # A reset on one side is a reset on the other.
            with contextlib.suppress(OSError):
                reset_connection(writer)
