"""
bergamotshed.forwarding.request_timeouts
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Limits the time of requests, and ends all of them before the process does.
"""

__all__ = ('RequestTimeouts',)

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager


class RequestTimeouts:
    """Keeps the time limits of all requests in flight.

    :ivar have_expired: all requests were ended as the process stops
    """

    def __init__(self) -> None:
        self.have_expired = False
        self._running: set[asyncio.Timeout] = set()

    @asynccontextmanager
    async def limit(self, remaining_s: float | None) -> AsyncIterator[None]:
        """Cancel the context's code after some seconds, or when all requests
        are ended.

        :param remaining_s: ``None`` for no limit of its own
        :raises TimeoutError: the time is over
        """
        async with asyncio.timeout(remaining_s) as timeout:
            self._running.add(timeout)
            try:
                yield
            finally:
                self._running.discard(timeout)

    def expire_all(self) -> None:
        """End all requests in flight, so that each still gets an answer."""
        self.have_expired = True
        now = asyncio.get_running_loop().time()
        for timeout in self._running:
            if not timeout.expired():
                timeout.reschedule(now)
