"""
tests.soak.callers
~~~~~~~~~~~~~~~~~~

Callers that reuse a connection until it breaks, and record each request with
its response.
"""

__all__ = ('CallRecord', 'Caller', 'Resumption')

import asyncio
import random
import time
from dataclasses import dataclass

from tests.gateway.support import HOST, RawResponse, read_answer

from .fleet import PORTS, Fleet

ROUTES = ('once', 'twice', 'stream', 'resumed')
CALL_TIMEOUT_S = 4.0
DEADLINE_MS = 2500
MAX_PAUSE_S = 0.05
#: Share of the resumed streams whose callers name the attempt that began them.
NAMED_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Resumption:
    """A stream that broke off.

    :ivar begun_as: the attempt that brought its first event
    """

    begun_as: str
    next_event: int


@dataclass(frozen=True, slots=True)
class CallRecord:
    """One request and its response.

    :ivar route: name of the route that it was sent to
    :ivar sent_at: monotonic time in seconds
    :ivar resumed: the stream that it resumes
    """

    attempt_id: str
    route: str
    target: str
    key: str
    sent_at: float
    duration_s: float
    response: RawResponse
    resumed: Resumption | None = None

    @property
    def next_event(self) -> int:
        """Return the number of the first event that is still missing."""
        first = 0 if self.resumed is None else self.resumed.next_event
        return first + self.response.body.count(b'id:')


class Caller:
    """Sends one request after the other.

    :param records: receives a record of each request
    """

    def __init__(
        self,
        name: str,
        fleet: Fleet,
        rng: random.Random,
        records: list[CallRecord],
    ) -> None:
        self._name = name
        self._fleet = fleet
        self._rng = rng
        self._records = records
        self._sent_count = 0
        self._resumed: Resumption | None = None
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        """Send until cancelled."""
        try:
            while True:
                await self.call()
                await asyncio.sleep(self._rng.uniform(0, MAX_PAUSE_S))
        finally:
            self._disconnect()

    async def call(self) -> CallRecord | None:
        """Send one request; return ``None`` if the connection failed."""
        self._sent_count += 1
        attempt_id = f'{self._name}.{self._sent_count}'
        resumed, self._resumed = self._resumed, None
        route = 'resumed' if resumed else self._rng.choice(ROUTES)
        target = f'/{route}/{self._rng.randrange(5)}?n={self._sent_count}'
        key = self._rng.choice(self._fleet.keys)
        if not await self._connect():
            return None
        sent_at = time.monotonic()
        response = await self._send_request(attempt_id, target, key, resumed)
        duration_s = time.monotonic() - sent_at
        record = CallRecord(
            attempt_id,
            route,
            target,
            key,
            sent_at,
            duration_s,
            response,
            resumed,
        )
        self._records.append(record)
        if route == 'resumed' and response.cut and record.next_event:
            begun_as = resumed.begun_as if resumed else attempt_id
            self._resumed = Resumption(begun_as, record.next_event)
        if response.cut or response.headers.get('connection') == 'close':
            self._disconnect()
        return record

    async def _connect(self) -> bool:
        if self._writer is not None:
            return True
        router = self._rng.choice(self._fleet.routers)
        try:
            self._reader, self._writer = await asyncio.open_connection(
                router.host, PORTS['callers']
            )
        except OSError:
            await asyncio.sleep(MAX_PAUSE_S)
            return False
        return True

    async def _send_request(
        self,
        attempt_id: str,
        target: str,
        key: str,
        resumed: Resumption | None,
    ) -> RawResponse:
        assert self._reader is not None
        assert self._writer is not None
        head = (
            f'GET {target} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'Bergamotshed-Attempt-Id: {attempt_id}\r\n'
            f'Bergamotshed-Deadline-Ms: {DEADLINE_MS}\r\n'
            'Bergamotshed-Prompt-Prefix: a:10,b:20,c:5\r\n'
            f'Authorization: Bearer {key}\r\n'
        )
        if resumed is not None:
            head += f'Last-Event-Id: {resumed.next_event - 1}\r\n'
            if self._rng.random() < NAMED_SHARE:
                head += f'Resumes: {resumed.begun_as}\r\n'
        try:
            self._writer.write(f'{head}\r\n'.encode())
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await read_answer(self._reader)
        except (OSError, TimeoutError):
            return RawResponse(0, {}, b'', cut=True)

    def _disconnect(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
