"""
tests.soak.callers
~~~~~~~~~~~~~~~~~~

Callers that keep their connections until they break, and remember what they
sent and saw.
"""

__all__ = ('Caller', 'Seen')

import asyncio
import random
import time
from dataclasses import dataclass

from tests.gateway.support import HOST, RawResponse, read_answer

from .fleet import PORTS, Fleet

KINDS = ('once', 'twice', 'stream', 'resumed')
PATIENCE_S = 4.0
DEADLINE_MS = 2500
PAUSE_S = 0.05


@dataclass(frozen=True, slots=True)
class Seen:
    """One request and what came back."""

    attempt: str
    kind: str
    target: str
    key: str
    sent_at: float
    took: float
    spoken: RawResponse


class Caller:
    """Sends one request after the other.

    :param seen: takes what came back
    """

    def __init__(
        self, name: str, fleet: Fleet, rng: random.Random, seen: list[Seen]
    ) -> None:
        self._name = name
        self._fleet = fleet
        self._rng = rng
        self._seen = seen
        self._count = 0
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        """Send until cancelled."""
        try:
            while True:
                await self.call()
                await asyncio.sleep(self._rng.uniform(0, PAUSE_S))
        finally:
            self._drop()

    async def call(self) -> Seen | None:
        """Send one request; ``None`` if no router was reached."""
        self._count += 1
        attempt = f'{self._name}.{self._count}'
        kind = self._rng.choice(KINDS)
        target = f'/{kind}/{self._rng.randrange(5)}?n={self._count}'
        key = self._rng.choice(self._fleet.keys)
        if not await self._connect():
            return None
        sent_at = time.monotonic()
        spoken = await self._speak(attempt, target, key)
        took = time.monotonic() - sent_at
        seen = Seen(attempt, kind, target, key, sent_at, took, spoken)
        self._seen.append(seen)
        if spoken.cut or spoken.headers.get('connection') == 'close':
            self._drop()
        return seen

    async def _connect(self) -> bool:
        if self._writer is not None:
            return True
        router = self._rng.choice(self._fleet.routers)
        try:
            self._reader, self._writer = await asyncio.open_connection(
                router.host, PORTS['callers']
            )
        except OSError:
            await asyncio.sleep(PAUSE_S)
            return False
        return True

    async def _speak(self, attempt: str, target: str, key: str) -> RawResponse:
        assert self._reader is not None
        assert self._writer is not None
        head = (
            f'GET {target} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'Bergamotshed-Attempt-Id: {attempt}\r\n'
            f'Bergamotshed-Deadline-Ms: {DEADLINE_MS}\r\n'
            'Bergamotshed-Prompt-Prefix: a:10,b:20,c:5\r\n'
            f'Authorization: Bearer {key}\r\n\r\n'
        )
        try:
            self._writer.write(head.encode())
            async with asyncio.timeout(PATIENCE_S):
                return await read_answer(self._reader)
        except (OSError, TimeoutError):
            return RawResponse(0, {}, b'', cut=True)

    def _drop(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
