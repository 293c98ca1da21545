"""
bergamotshed.callers.server
~~~~~~~~~~~~~~~~~~~~~~~~~~~

The HTTP server for callers.
"""

__all__ = ('CallersServer',)

import asyncio
from datetime import timedelta

from aiohttp import web
from aiohttp.typedefs import Handler

from ..dispatch.types import Failure, FailureType
from ..intake.connection import guard
from ..intake.intake import Intake
from ..reasons import Reason
from ..sockets import BACKLOG, listen
from .app import READ_TIMEOUT
from .errors import HTTP_UNAVAILABLE, failure_response
from .head_timeouts import HeadTimeouts

STOPPING_RETRY_AFTER = timedelta(seconds=1)


class CallersServer:
    """Serves the application on one address.

    :param port: 0 lets the operating system choose
    """

    def __init__(
        self, host: str, port: int, app: web.Application, intake: Intake
    ) -> None:
        self._host = host
        self._port = port
        self._in_flight = 0
        self._is_draining = False
        self._idle = asyncio.Event()
        self._idle.set()
        app.middlewares.insert(0, self._track_request)
        self._intake = intake
        self._runner = web.AppRunner(
            app, access_log=None, handler_cancellation=True
        )
        self._head_timeouts = HeadTimeouts(app[READ_TIMEOUT])
        self._listener: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """Return the port on which the server listens."""
        return self._port

    @property
    def in_flight(self) -> int:
        """Return the number of requests that are being answered."""
        return self._in_flight

    async def start(self) -> None:
        """Start to accept connections."""
        await self._runner.setup()
        listener = await asyncio.get_running_loop().create_server(
            self._create_connection,
            sock=listen(f'{self._host}:{self._port}'),
            backlog=BACKLOG,
        )
        self._listener = listener
        self._port = listener.sockets[0].getsockname()[1]

    async def drain(self) -> None:
        """Refuse new requests and wait for those in flight."""
        self._is_draining = True
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        await self._idle.wait()

    async def stop(self) -> None:
        """Close all connections."""
        if self._listener is not None:
            self._listener.close()
        self._head_timeouts.close()
        await self._runner.cleanup()

    def _create_connection(self) -> asyncio.Protocol:
        server = self._runner.server
        if server is None:
            raise RuntimeError('the server has not started')
        connection = guard(
            server,
            self._intake,
            on_lost=self._head_timeouts.stop_timer,
        )()
        self._head_timeouts.start_timer(connection)
        return connection

    @web.middleware
    async def _track_request(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        self._head_timeouts.stop_timer(request.protocol)
        if self._is_draining:
            return _stopping_response()
        self._in_flight += 1
        self._idle.clear()
        try:
            return await handler(request)
        finally:
            self._in_flight -= 1
            if self._in_flight == 0:
                self._idle.set()


def _stopping_response() -> web.Response:
    response = failure_response(
        Failure(
            FailureType.REFUSED_NOT_RUN,
            Reason.STOPPING,
            'this router is stopping; use another entry',
            HTTP_UNAVAILABLE,
            STOPPING_RETRY_AFTER,
        )
    )
    response.force_close()
    return response
