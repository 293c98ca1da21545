"""
bergamotshed.callers.head_timeouts
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Closes connections whose first request head does not arrive in time. The HTTP
library has timeouts for bodies and for the time between requests, but not for
the first head.
"""

__all__ = ('HeadTimeouts',)

import asyncio
from datetime import timedelta

from aiohttp import web

from .errors import BadRequest, failure_body

HTTP_REQUEST_TIMEOUT = 408

_TIMEOUT_BODY = failure_body(
    BadRequest(
        'the request did not arrive in time', HTTP_REQUEST_TIMEOUT
    ).failure
)
_TIMEOUT_RESPONSE = b'\r\n'.join(
    (
        b'HTTP/1.1 408 Request Timeout',
        b'Content-Type: application/json',
        b'Content-Length: %d' % len(_TIMEOUT_BODY),
        b'Connection: close',
        b'',
        _TIMEOUT_BODY,
    )
)


class HeadTimeouts:
    """Keeps a timer for each connection until its first request.

    :param timeout: from the connection to the end of the first request head
    :param response: bytes that are sent before the connection is closed
    """

    def __init__(
        self, timeout: timedelta, response: bytes = _TIMEOUT_RESPONSE
    ) -> None:
        self._response = response
        self._timeout_s = timeout.total_seconds()
        self._timers: dict[web.RequestHandler, asyncio.TimerHandle] = {}

    def start_timer(self, connection: web.RequestHandler) -> None:
        """Start the timer of a connection."""
        loop = asyncio.get_running_loop()
        self._timers[connection] = loop.call_later(
            self._timeout_s, self._expire, connection
        )

    def stop_timer(self, connection: web.RequestHandler) -> None:
        """Stop the timer of a connection, as its first head has arrived."""
        timer = self._timers.pop(connection, None)
        if timer is not None:
            timer.cancel()

    def close(self) -> None:
        """Stop all timers."""
        for timer in self._timers.values():
            timer.cancel()
        self._timers.clear()

    def _expire(self, connection: web.RequestHandler) -> None:
        self._timers.pop(connection, None)
        transport = connection.transport
        if isinstance(transport, asyncio.WriteTransport):
            transport.write(self._response)
            transport.close()
