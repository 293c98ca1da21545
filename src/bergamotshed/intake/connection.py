"""
bergamotshed.intake.connection
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A client's HTTP connection whose cost is counted and bounded. The HTTP library
limits single lines and the number of headers, but neither a whole head nor what
stands between the bytes of a body, nor all connections together.
"""

__all__ = ('GaveWay', 'GuardedConnection', 'connection_of', 'guard')

import asyncio
import traceback
from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial
from typing import Any, cast

from aiohttp import web
from aiohttp.http import HttpProcessingError
from aiohttp.web_request import BaseRequest
from eliot import log_message

from .costs import MAX_HEADERS, RequestCosts
from .intake import Account, Intake, Phase

#: Longest line of a head; the limits of configurations are far below.
MAX_LINE_BYTES = 65_536
#: Bytes of a body that are kept before it is read; the library also derives
#: the number of chunks from it.
READ_AHEAD_BYTES = 65_536
#: How long the rest of a body is skipped after an early answer.
LINGERING_S = 1.0
#: How long an idle connection is kept open.
IDLE_TIMEOUT = timedelta(seconds=75)
#: Pause of a client that pipelines while memory is short.
MEMORY_PAUSE_S = 1.0
#: Characters of an error that are logged.
MAX_DETAIL = 200
HEAD_TOO_LARGE = (
    b'HTTP/1.1 431 Request Header Fields Too Large\r\n'
    b'Content-Length: 0\r\nConnection: close\r\n\r\n'
)
#: Promises that the request did not and will not run.
OUT_OF_MEMORY = (
    b'HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n'
    b'Content-Length: 0\r\nConnection: close\r\n\r\n'
)

_Handler = Callable[[BaseRequest], Awaitable[web.StreamResponse]]
_Answer = tuple[web.StreamResponse, bool]


class GaveWay(web.RequestPayloadError):
    """A request was given up for others before it was read."""


class GuardedConnection(web.RequestHandler):
    """One connection of a client.

    :param server: handles its requests
    :param intake: the account of all connections of the process
    :param on_lost: called with the connection when it is closed
    :param idle_timeout: how long it is kept open between requests
    :param options: further options of the library
    """

    def __init__(
        self,
        server: web.Server,
        intake: Intake,
        on_lost: Callable[[web.RequestHandler], None] | None = None,
        idle_timeout: timedelta = IDLE_TIMEOUT,
        **options: Any,
    ) -> None:
        super().__init__(
            server,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=idle_timeout.total_seconds(),
            lingering_time=LINGERING_S,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            max_headers=MAX_HEADERS,
            read_bufsize=READ_AHEAD_BYTES,
            **options,
        )
        self._intake = intake
        self._on_lost = on_lost
        self._account: Account | None = None
        self._costs = RequestCosts()
        self._resume_timer: asyncio.TimerHandle | None = None

    def reserve(self, size: int) -> bool:
        """Count memory for the request that is handled, until its end.

        :returns: whether there is enough
        """
        account = self._account
        if account is None or not self._intake.reserve(account, size):
            return False
        self._costs.handled_bytes += size
        return True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Refuse the connection where there is no room for it."""
        super().connection_made(transport)
        self._account = self._intake.open(self._give_way)
        if self._account is None:
            self._disconnect()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release all that the connection held."""
        if self._account is not None:
            self._intake.close(self._account)
        if self._resume_timer is not None:
            self._resume_timer.cancel()
        if self._on_lost is not None:
            self._on_lost(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse a piece and count what it costs."""
        if self._account is None:
            return
        if data:
            self._count_piece(data, self._account)
        # The piece may have closed the connection.
        if self.transport is None:
            return
        count_before = self._request_count
        pause_s = self._intake.pacer.run(
            self, partial(super().data_received, data)
        )
        if self._messages and self._request_count > count_before:
            self._costs.add_messages(
                self._request_count - count_before, self._messages[-1][1]
            )
        self._check_bounds()
        if pause_s > 0:
            self._pause_for(pause_s)

    def log_exception(self, *_args: Any, **options: Any) -> None:
        """Count a malformed request; log any other failure of a handler."""
        error = options.get('exc_info')
        if isinstance(error, GaveWay):
            # Counted when it gave way.
            return
        if isinstance(error, (HttpProcessingError, web.RequestPayloadError)):
            self._intake.count_refusal('malformed', repr(error)[:MAX_DETAIL])
        else:
            log_message('request.broke', failure=traceback.format_exc())

    async def _handle_request(
        self,
        request: BaseRequest,
        start_time: float | None,
        request_handler: _Handler,
    ) -> _Answer:
        """Count the request until it has been answered."""
        self._costs.begin_handling()
        try:
            return await super()._handle_request(
                request, start_time, request_handler
            )
        finally:
            self._end_handling()

    def _end_handling(self) -> None:
        released = self._costs.end_handling()
        if self._account is not None:
            self._intake.release(self._account, released)
        self._update_phase()

    @property
    def _phase(self) -> Phase:
        request = self._current_request
        if request is not None:
            is_read = request.content.is_eof()
            return Phase.RUNNING if is_read else Phase.READING
        if self._costs.is_between_requests and not self._messages:
            return Phase.IDLE
        return Phase.READING

    def _update_phase(self) -> None:
        account = self._account
        if account is not None and account.phase is not self._phase:
            self._intake.enter(account, self._phase)

    def _count_piece(self, piece: bytes, account: Account) -> None:
        self._intake.record_bytes(account, len(piece))
        cost = self._costs.estimate(piece)
        if self._intake.reserve(account, cost):
            self._costs.add_piece(piece, cost)
        elif self._phase is Phase.RUNNING:
            self._pause_for(MEMORY_PAUSE_S)
        else:
            self._disconnect(OUT_OF_MEMORY)

    def _check_bounds(self) -> None:
        """Close a connection that breaks a bound; pause one that pipelines."""
        self._update_phase()
        if self._costs.is_head_too_large:
            self._intake.count_refusal('head')
            self._disconnect(HEAD_TOO_LARGE)
        elif not self._reading_paused and self._costs.is_framing_too_large:
            # While reading is paused not all of the piece has been parsed.
            self._intake.count_refusal('framing')
            self._disconnect()
        elif self._messages and self._costs.are_too_many_waiting:
            # The library resumes when the next of them is handled.
            self._pause_reading_for_buffer()

    def _pause_for(self, seconds: float) -> None:
        """Read no more for some time."""
        if self._resume_timer is not None:
            self._resume_timer.cancel()
        self._pause_reading_for_buffer()
        self._resume_timer = self._loop.call_later(
            seconds, self._resume_reading_for_buffer
        )

    def _give_way(self) -> None:
        """End a request that is being read, or an idle connection."""
        self._account = None
        request = self._current_request
        if request is None:
            # In a body without a handler only the rest arrives of a request
            # that has been answered.
            is_answered = self._costs.is_in_body and not self._messages
            is_idle = self._phase is Phase.IDLE
            self._disconnect(b'' if is_idle or is_answered else OUT_OF_MEMORY)
        else:
            # Its handler answers that it did not run.
            request.content.set_exception(GaveWay('others needed its memory'))

    def _disconnect(self, answer: bytes = b'') -> None:
        """Close the connection at once.

        :param answer: sent before, unless a request is being handled
        """
        transport = self.transport
        if transport is None:
            return
        if answer and self._current_request is None:
            transport.write(answer)
        self.force_close()
        if not answer:
            transport.abort()


def connection_of(request: BaseRequest) -> GuardedConnection:
    """Return the connection on which a request arrived."""
    return cast(GuardedConnection, request.protocol)


def guard(
    server: web.Server, intake: Intake, **options: Any
) -> Callable[[], GuardedConnection]:
    """Return a function that creates the connections of a server.

    :param options: see :class:`GuardedConnection`
    """
    return partial(GuardedConnection, server, intake, **options)
