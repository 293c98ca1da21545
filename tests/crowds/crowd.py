"""
tests.crowds.crowd
~~~~~~~~~~~~~~~~~~

The clients of a crowd. They send at once, connect anew when they are refused,
read nothing and keep their connections until the crowd is dismissed.
"""

__all__ = ('Crowd',)

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from tests.standins.rawupstream import reset_connection

from .forms import Form, Target

#: How long the crowd sends, and the pause before a client connects anew.
SENDING_S = 2.0
RETURN_PAUSE_S = 0.02
CONNECT_TIMEOUT_S = 2.0
#: Most bytes that the whole crowd sends, so that the test's own machine
#: bears a program without limits.
MAX_SENT_BYTES = 2_147_483_648


class Crowd:
    """Clients of one address.

    :param forms: kinds of clients, in turn
    """

    def __init__(
        self, address: str, forms: list[Form], target: Target, size: int
    ) -> None:
        self._host, _, port = address.rpartition(':')
        self._port = int(port)
        self._forms = forms
        self._target = target
        self._size = size
        self._is_sending = True
        self._sent_bytes = 0

    @asynccontextmanager
    async def gathered(self) -> AsyncIterator[None]:
        """Send for some seconds; keep the connections until the block ends."""
        clients = [
            asyncio.ensure_future(
                self._attend(self._forms[number % len(self._forms)])
            )
            for number in range(self._size)
        ]
        try:
            await asyncio.sleep(SENDING_S)
            self._is_sending = False
            yield
        finally:
            for client in clients:
                client.cancel()
            await asyncio.gather(*clients, return_exceptions=True)

    async def _attend(self, form: Form) -> None:
        while self._is_sending:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    _, writer = await asyncio.open_connection(
                        self._host, self._port
                    )
            except (OSError, TimeoutError):
                await asyncio.sleep(RETURN_PAUSE_S)
                continue
            try:
                await self._send(writer, form)
            except ConnectionError:
                await asyncio.sleep(RETURN_PAUSE_S)
            finally:
                reset_connection(writer)

    async def _send(self, writer: asyncio.StreamWriter, form: Form) -> None:
        for block in form.blocks(self._target):
            if not self._is_sending:
                break
            writer.write(block)
            await writer.drain()
            self._count(block)
            await asyncio.sleep(0)
        if form.leaves:
            return
        await writer.wait_closed()

    def _count(self, block: bytes) -> None:
        self._sent_bytes += len(block)
        if self._sent_bytes > MAX_SENT_BYTES:
            self._is_sending = False
