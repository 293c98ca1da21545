"""
tests.soak.engines
~~~~~~~~~~~~~~~~~~

Upstreams that record which requests they ran.
"""

__all__ = (
    'EVENT_COUNT',
    'VERSIONS',
    'Engine',
    'EngineRun',
    'expected_body',
    'expected_events',
)

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

EVENT_COUNT = 15
VERSIONS = ('v1', 'v2')
EVENT_GAP_S = 0.02
RUN_S = 0.03
STREAM_HEADER = 'Content-Type: text/event-stream'


@dataclass(frozen=True, slots=True)
class EngineRun:
    """One request that an engine began to run.

    :ivar started_at: monotonic time in seconds
    :ivar version: of the engine's software
    """

    attempt_id: str
    engine: str
    started_at: float
    request: RawRequest
    version: str = ''


class Engine:
    """One upstream behind a proxy.

    :ivar mode: behaviour of about half of its answers: ``fine`` (normal),
        ``mute`` (5 seconds late), ``reset``, ``fail`` (status 500), ``full``
        (not run, 503), ``extra`` (a second answer after the first), ``cut``
        (closes the connection within the answer), or, although it has run the
        request, ``repeat`` (an earlier refusal), ``torn`` (a part of one, then
        the answer) or ``unsaid`` (a 503 of its own)
    :ivar drained_at: monotonic time in seconds at which the store
        acknowledged its state ``draining``, or ``None``
    """

    def __init__(
        self,
        name: str,
        record_run: Callable[[EngineRun], None],
        rng: random.Random,
    ) -> None:
        self.name = name
        self.mode = 'fine'
        self.version = rng.choice(VERSIONS)
        self.born = 1
        self.sequence = 1
        self.drained_at: float | None = None
        self.upstream = RawUpstream(self._handle)
        self.proxy: FaultyProxy
        self._record_run = record_run
        self._used_connections: set[int] = set()
        self._rng = rng

    def store_entry(self, state: str) -> dict[str, object]:
        """Return its entry in the store."""
        return {
            'service': 's',
            'address': self.proxy.address,
            'zone': 'a',
            'slots': 8,
            'state': state,
            'sequence': self.sequence,
            'born': self.born,
            'version': self.version,
        }

    async def _handle(
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
        self._record_run(
            EngineRun(request.attempt, self.name, now, request, self.version)
        )
        await asyncio.sleep(RUN_S)
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
        if mode == 'cut':
            await self._cut_answer(request, writer)
            return
        if mode == 'repeat':
            writer.write(self._earlier_refusal(request))
            return
        if mode == 'unsaid':
            writer.write(sealed_answer(request, b'', '503 Unavailable'))
            return
        if mode == 'torn':
            earlier = self._earlier_refusal(request)
            writer.write(earlier[: self._rng.randrange(1, len(earlier))])
        self._used_connections.add(request.connection)
        await self._answer(request, writer)
        if mode == 'extra':
            writer.write(sealed_answer(request, b'once more'))

    def _earlier_refusal(self, request: RawRequest) -> bytes:
        """Return a refusal; without an id if it can be an earlier one."""
        refusal = _refusal(request, '503 Unavailable', True)
        own = f'Bergamotshed-Attempt-Id: {request.attempt}\r\n'.encode()
        earlier = b'Bergamotshed-Attempt-Id: earlier\r\n'
        is_used = request.connection in self._used_connections
        return refusal.replace(
            own, b'' if is_used and self._rng.random() < 0.5 else earlier
        )

    async def _cut_answer(
        self, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Cut a sized answer, or a stream that ends with its connection."""
        if not _is_stream(request):
            writer.write(sealed_answer(request, expected_body(request))[:-1])
            writer.close()
            return
        first = int(request.headers.get('last-event-id', -1)) + 1
        head = sealed_answer(request, b'', sized=False, extra=STREAM_HEADER)
        events = expected_events(request.attempt, first, EVENT_COUNT - 1)
        end = self._rng.randrange(max(1, len(events)))
        if not end or events.endswith(b'\n\n', 0, end):
            # Only inside an event can it be told from the end of the stream.
            end += 1
        writer.write(head + events[:end])
        await writer.drain()
        writer.close()

    async def _answer(
        self, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        if not _is_stream(request):
            writer.write(sealed_answer(request, expected_body(request)))
            return
        first = int(request.headers.get('last-event-id', -1)) + 1
        head = sealed_answer(request, b'', sized=False, extra=STREAM_HEADER)[
            :-2
        ]
        writer.write(head + b'Transfer-Encoding: chunked\r\n\r\n')
        for number in range(first, EVENT_COUNT):
            event = expected_events(request.attempt, number, number)
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
        writer.write(b'0\r\n\r\n')


def expected_body(request: RawRequest) -> bytes:
    """Return the body of the answer, which is unique to the request."""
    return f'{request.attempt} {request.line.split()[1]}'.encode()


def expected_events(attempt_id: str, first: int, last: int) -> bytes:
    """Return the events ``first`` to ``last`` of an attempt's stream."""
    return b''.join(
        f'id: {number}\ndata: {attempt_id} {number}\n\n'.encode()
        for number in range(first, last + 1)
    )


def _is_stream(request: RawRequest) -> bool:
    return request.line.split()[1].startswith(('/stream/', '/resumed/'))


def _refusal(
    request: RawRequest, status: str, is_not_run: bool = False
) -> bytes:
    lines = [
        f'HTTP/1.1 {status}',
        f'Bergamotshed-Attempt-Id: {request.attempt}',
        'Content-Length: 0',
    ]
    if is_not_run:
        lines.append('Bergamotshed-Not-Executed: 1')
    return '\r\n'.join((*lines, '', '')).encode()
