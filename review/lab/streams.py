"""Engines that answer with series of events, and clients that take a stream up
again after the last event that they have.
"""

import asyncio
import random

from .engines import Engine, Run, answer
from .gateways import Gateway

EVENTS = 49
EVENT_PAUSE_S = 0.06


class StreamEngine(Engine):
    """Answers with events whose text is that of its service's model."""

    async def _answer(self, line, headers, length, reader, writer) -> None:
        attempt = headers.get('bergamotshed-attempt-id', '')
        await reader.readexactly(length)
        if headers.get('bergamotshed-expect-instance', self.name) != self.name:
            writer.write(answer(421, attempt, b''))
            return
        run = Run(self.name, attempt, headers)
        self.runs.append(run)
        first = int(headers.get('last-event-id', 0)) + 1
        head = (
            'HTTP/1.1 200 OK\r\n'
            f'Bergamotshed-Attempt-Id: {attempt}\r\n'
            f'Bergamotshed-Response-Seal: {self.name}.{attempt}\r\n'
            'Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'
        )
        writer.write(head.encode())
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_PAUSE_S)
            event = f'id: {number}\ndata: {self.service} {number}\n\n'.encode()
            writer.write(b'%x\r\n' % len(event) + event + b'\r\n')
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        run.end = 'answered'


class StreamTry:
    """One client attempt at a stream."""

    def __init__(self, attempt: str, address: str, after: int) -> None:
        self.attempt = attempt
        self.address = address
        self.after = after
        self.status = 0
        self.pieces: list[tuple[int, str]] = []
        self.is_complete = False


class Stream:
    """A stream that a client wants, over all its tries."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.tries: list[StreamTry] = []

    @property
    def pieces(self) -> list[tuple[int, str]]:
        return [piece for each in self.tries for piece in each.pieces]

    @property
    def services(self) -> list[str]:
        """Return the services whose text it has, in order."""
        return list(dict.fromkeys(text.split()[0] for _, text in self.pieces))

    @property
    def is_complete(self) -> bool:
        return bool(self.tries) and self.tries[-1].is_complete

    async def read(self, gateways: list[Gateway], path: str, tries: int) -> None:
        """Read to the end; go on at another machine after a broken
        connection.
        """
        left = random.sample(gateways, len(gateways))
        for number, gateway in enumerate(left[:tries]):
            pieces = self.pieces
            after = pieces[-1][0] if pieces else 0
            attempt = f'{self.name}-{number}'
            current = StreamTry(attempt, gateway.front, after)
            self.tries.append(current)
            await _read_once(current, path)
            if current.is_complete:
                return
            await asyncio.sleep(0.1)


async def _read_once(current: StreamTry, path: str) -> None:
    host, _, port = current.address.rpartition(':')
    lines = [
        f'POST {path} HTTP/1.1',
        'Host: h.example',
        f'Bergamotshed-Attempt-Id: {current.attempt}',
        'Bergamotshed-Deadline-Ms: 12000',
        'Authorization: Bearer key-1',
        'Content-Length: 1',
    ]
    if current.after:
        lines.append(f'Last-Event-Id: {current.after}')
    writer = None
    try:
        async with asyncio.timeout(12):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write('\r\n'.join((*lines, '', '')).encode() + b'x')
            head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
            current.status = int(head.split()[1])
            if current.status == 200:
                await _read_events(current, reader)
    except (OSError, asyncio.IncompleteReadError):
        return
    finally:
        if writer is not None:
            writer.close()


async def _read_events(
    current: StreamTry, reader: asyncio.StreamReader
) -> None:
    rest = b''
    while size := int(await reader.readuntil(b'\r\n'), 16):
        rest += await reader.readexactly(size)
        await reader.readexactly(2)
        *events, rest = rest.split(b'\n\n')
        for event in events:
            fields = dict(
                line.split(': ', 1) for line in event.decode().split('\n')
            )
            current.pieces.append((int(fields['id']), fields['data']))
    await reader.readexactly(2)
    current.is_complete = True
