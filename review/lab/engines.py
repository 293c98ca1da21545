"""Engines: one request at a time on a connection, slots, a queue and a log of
what ran.
"""

import asyncio
import time


class Run:
    """One request that an engine began to run."""

    def __init__(self, engine: str, attempt: str, headers: dict) -> None:
        self.engine = engine
        self.attempt = attempt
        self.headers = headers
        self.begun_at = time.monotonic()
        self.request = ''
        self.body = b''
        self.end = 'running'


class Engine:
    """A sound engine; override :meth:`work` for what it does.

    :ivar drops_closed: it drops a request when its connection closes
    :ivar arrivals: (time, attempt) of every request that reached it
    """

    def __init__(self, name: str, service: str, slots: int = 6) -> None:
        self.name = name
        self.service = service
        self.slots = slots
        self.work_s = 0.1
        self.drops_closed = True
        self.address = ''
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs: list[Run] = []
        self.arrivals: list[tuple[float, str]] = []
        self.closed: list[tuple[float, str]] = []
        self._free = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self, host: str) -> None:
        self._server = await asyncio.start_server(self._accept, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def entry(self, state: str = 'ready') -> dict:
        """Return the entry that it writes to the store."""
        self.sequence += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': 'zone-0',
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'cold_remaining_ms': 0,
            'sequence': self.sequence,
            'born': self.born,
        }

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.ensure_future(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                line, *rest = head.decode('latin-1').strip().split('\r\n')
                headers = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (each.partition(':') for each in rest)
                }
                length = int(headers.get('content-length', 0))
                await self._answer(line, headers, length, reader, writer)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def _answer(self, line, headers, length, reader, writer) -> None:
        attempt = headers.get('bergamotshed-attempt-id', '')
        body = await reader.readexactly(length)
        if headers.get('bergamotshed-expect-instance', self.name) != self.name:
            writer.write(answer(421, attempt, b'', 'misdirected'))
            return
        self.arrivals.append((time.monotonic(), attempt))
        refusal = self.refuse()
        if refusal:
            writer.write(
                answer(
                    503, attempt, b'', 'Bergamotshed-Not-Executed: 1', refusal
                )
            )
            return
        async with self._free:
            run = Run(self.name, attempt, headers)
            run.request = line
            run.body = body
            self.runs.append(run)
            closing = asyncio.ensure_future(reader.read(1))
            working = asyncio.ensure_future(self.work(run))
            try:
                awaited = (
                    (closing, working) if self.drops_closed else (working,)
                )
                await asyncio.wait(awaited, return_when=asyncio.FIRST_COMPLETED)
                if not working.done():
                    run.end = 'its caller closed the connection'
                    self.closed.append((time.monotonic(), attempt))
                    raise ConnectionError
            finally:
                working.cancel()
                if closing.done() and not closing.cancelled():
                    closing.exception()
                closing.cancel()
                await asyncio.gather(closing, return_exceptions=True)
            run.end = 'answered'
            writer.write(
                answer(
                    200,
                    attempt,
                    f'ran at {self.name}'.encode(),
                    f'Bergamotshed-Response-Seal: {self.name}.{attempt}',
                )
            )
            await writer.drain()

    def refuse(self) -> str:
        """Return a header of a refusal that it sends; empty to run."""
        return ''

    async def work(self, run: Run) -> None:
        await asyncio.sleep(self.work_s)


def answer(status: int, attempt: str, body: bytes, *lines: str) -> bytes:
    head = [
        f'HTTP/1.1 {status} X',
        f'Bergamotshed-Attempt-Id: {attempt}',
        f'Content-Length: {len(body)}',
        'Keep-Alive: timeout=20',
        *(line for line in lines if ':' in line),
    ]
    return '\r\n'.join((*head, '', '')).encode() + body
