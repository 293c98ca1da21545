"""
tests.soak.engines
~~~~~~~~~~~~~~~~~~

Upstreams that record what they ran.
"""

__all__ = ('EVENTS', 'Engine', 'Run', 'expected_events', 'expected_plain')

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from tests.standins.rawupstream import (
    RawRequest,
    RawUpstream,
    reset_connection,
    sealed_answer,
)

from .proxy import FaultyProxy

EVENTS = 15
EVENT_GAP_S = 0.02
WORK_S = 0.03
STREAM = 'Content-Type: text/event-stream'


@dataclass(frozen=True, slots=True)
class Run:
    """One request that an engine began to work on."""

    attempt: str
    engine: str
    at: float
    request: RawRequest


class Engine:
    """One upstream behind a proxy.

    :ivar mode: how it behaves: ``fine``, ``mute``, ``reset``, ``fail``,
        ``full`` or ``extra``
    :ivar drained_at: when the store acknowledged that it leaves
    """

    def __init__(
        self, name: str, record: Callable[[Run], None], rng: random.Random
    ) -> None:
        self.name = name
        self.mode = 'fine'
        self.born = 1
        self.sequence = 1
        self.drained_at: float | None = None
        self.upstream = RawUpstream(self._script)
        self.proxy: FaultyProxy
        self._record = record
        self._rng = rng

    def entry(self, state: str) -> dict[str, object]:
        """Return what it registers in the store."""
        return {
            'service': 's',
            'address': self.proxy.address,
            'zone': 'a',
            'slots': 8,
            'state': state,
            'sequence': self.sequence,
            'born': self.born,
        }

    async def _script(
        self, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        if request.headers.get('bergamotshed-expect-instance') != self.name:
            writer.write(_refusal(request, '421 Misdirected Request'))
            return
        mode = self.mode if self._rng.random() < 0.5 else 'fine'
        if mode == 'full':
            writer.write(_refusal(request, '503 Service Unavailable', True))
            return
        now = time.monotonic()
        self._record(Run(request.attempt, self.name, now, request))
        await asyncio.sleep(WORK_S)
        if mode == 'mute':
            await asyncio.sleep(5)
        if mode == 'reset':
            reset_connection(writer)
            return
        if mode == 'fail':
            writer.write(
                sealed_answer(request, b'no', '500 Internal Server Error')
            )
            return
        await self._answer(request, writer)
        if mode == 'extra':
            writer.write(sealed_answer(request, b'once more'))

    async def _answer(
        self, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        if not request.line.split()[1].startswith(('/stream/', '/resumed/')):
            writer.write(sealed_answer(request, expected_plain(request)))
            return
        first = int(request.headers.get('last-event-id', -1)) + 1
        head = sealed_answer(request, b'', sized=False, extra=STREAM)[:-2]
        writer.write(head + b'Transfer-Encoding: chunked\r\n\r\n')
        for number in range(first, EVENTS):
            event = expected_events(request.attempt, number, number)
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
        writer.write(b'0\r\n\r\n')


def expected_plain(request: RawRequest) -> bytes:
    """Return the body that answers a request, and no other."""
    return f'{request.attempt} {request.line.split()[1]}'.encode()


def expected_events(attempt: str, first: int, last: int) -> bytes:
    """Return a stretch of the stream that answers an attempt."""
    return b''.join(
        f'id: {number}\ndata: {attempt} {number}\n\n'.encode()
        for number in range(first, last + 1)
    )


def _refusal(request: RawRequest, status: str, not_run: bool = False) -> bytes:
    lines = [
        f'HTTP/1.1 {status}',
        f'Bergamotshed-Attempt-Id: {request.attempt}',
        'Content-Length: 0',
    ]
    if not_run:
        lines.append('Bergamotshed-Not-Executed: 1')
    return '\r\n'.join((*lines, '', '')).encode()
