"""
bergamotshed.edge.server
~~~~~~~~~~~~~~~~~~~~~~~~

Listens for routed requests.
"""

__all__ = ('EdgeOptions', 'EdgeServer')

import asyncio
import math
import socket
import traceback
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus

from aiohttp import web
from aiohttp.client_exceptions import ClientConnectionResetError
from aiohttp.web_request import BaseRequest
from eliot import log_message

from ..callers.heads import HeadTimeouts
from ..clock import Clock
from ..forwarding.dialect import Dialect, RequestMalformed
from ..forwarding.forwarder import Forwarder, ForwardingResult
from ..forwarding.types import StreamedAnswer, UnknownOutcome, UpstreamAnswer
from ..process.requests import RequestMetrics
from ..reasons import Reason, Refusal
from ..routes.types import RequestLimits
from ..sockets import BACKLOG, listen, time_since_receive
from .responses import bad_request, refusal, undelivered
from .sink import CallerSink

#: Bound of one head; the configuration's own limit is far below.
MAX_HEAD_BYTES = 65_536
MAX_HEADERS = 256
#: How long written bytes may stay unacknowledged by a caller.
UNACKNOWLEDGED_LIMIT = timedelta(seconds=5)
#: How long the end of cut connections may take; the library takes zero for
#: no limit.
CLOSE_TIMEOUT_S = 0.1
#: How long a body may take to arrive, whatever the caller's deadline.
BODY_TIMEOUT_S = 10
#: How long the connections that came before this server took any need to be
#: read: tens of a loop's rounds.
CATCH_UP = timedelta(milliseconds=100)
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
DEFAULT_LIMITS = RequestLimits()


@dataclass(frozen=True, slots=True)
class EdgeOptions:
    """Where to listen.

    :ivar address: ``ip:port``
    :ivar idle_timeout: how long an idle connection of a caller is kept
    """

    address: str
    idle_timeout: timedelta


class EdgeServer:
    """Serves callers on one address.

    :ivar in_flight: requests that are being answered
    """

    def __init__(
        self,
        options: EdgeOptions,
        forwarder: Forwarder,
        dialect: Dialect,
        metrics: RequestMetrics,
        clock: Clock,
    ) -> None:
        self.in_flight = 0
        self.limits = DEFAULT_LIMITS
        self._options = options
        self._forwarder = forwarder
        self._dialect = dialect
        self._metrics = metrics
        self._clock = clock
        self._closing = False
        self._caught_up_at = -math.inf
        # Nothing is said to a connection that never asked anything.
        self._heads = HeadTimeouts(options.idle_timeout, b'')
        self._listener: asyncio.Server | None = None
        self._server = web.Server(
            self._handle,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=options.idle_timeout.total_seconds(),
            lingering_time=1,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
            max_headers=MAX_HEADERS,
        )

    async def start(self, listening: socket.socket | None = None) -> None:
        """Take callers.

        :param listening: listens already; without it, on its own address
        :raises OSError: the address is taken
        """
        loop = asyncio.get_running_loop()
        self._caught_up_at = self._clock.monotonic() + CATCH_UP.total_seconds()
        self._listener = await loop.create_server(
            self._connect,
            sock=listening or listen(self._options.address),
            backlog=BACKLOG,
        )
        for listening in self._listener.sockets:
            listening.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                UNACKNOWLEDGED_LIMIT // timedelta(milliseconds=1),
            )

    def drain(self) -> None:
        """Close each connection after its next answer."""
        self._closing = True

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._listener is not None:
            self._listener.close()
        self._heads.close()
        await self._server.shutdown(CLOSE_TIMEOUT_S)

    def _connect(self) -> asyncio.Protocol:
        connection = self._server()
        self._heads.opened(connection)
        return connection

    async def _handle(self, request: BaseRequest) -> web.StreamResponse:
        arrived_at = self._arrival(request)
        self._heads.requested(request.protocol)
        self.in_flight += 1
        try:
            response = await self._answer(request, arrived_at)
        finally:
            self.in_flight -= 1
        if self._closing:
            response.force_close()
        return response

    def _arrival(self, request: BaseRequest) -> float:
        """Return when a request that was just read had arrived.

        One that waited while the process started has that much less time.
        """
        now = self._clock.monotonic()
        if now >= self._caught_up_at or request.transport is None:
            return now
        connection = request.transport.get_extra_info('socket')
        try:
            waited = time_since_receive(connection)
        except OSError as error:
            log_message('request.arrival_unknown', detail=str(error))
            return now
        return now - waited.total_seconds()

    async def _answer(
        self, request: BaseRequest, arrived_at: float
    ) -> web.StreamResponse:
        body = await self._read_body(request)
        if isinstance(body, web.Response):
            return body
        try:
            routed = self._dialect.read_request(
                request.method,
                request.raw_path,
                request.raw_headers,
                body,
                arrived_at,
            )
        except RequestMalformed as error:
            log_message('request.malformed', detail=str(error))
            return bad_request(HTTPStatus.BAD_REQUEST, str(error))
        sink = CallerSink(request, closing=self._closing)
        forwarded: ForwardingResult | None = None
        try:
            forwarded = await self._forwarder.forward(routed, sink)
        except ClientConnectionResetError:
            forwarded = StreamedAnswer(is_complete=False)
        except Exception:
            forwarded = _broken(routed.attempt_id, sink)
        finally:
            self._note(routed.attempt_id, forwarded, arrived_at)
        return self._response(forwarded, sink)

    async def _read_body(self, request: BaseRequest) -> bytes | web.Response:
        if not request.body_exists:
            return b''
        if request.headers.get('Expect', '').lower() == '100-continue':
            await request.writer.write(CONTINUE)
            request.writer.output_size = 0
        limit = self.limits.max_body_bytes
        if (request.content_length or 0) > limit:
            return bad_request(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'the body is too large'
            )
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                body = await _gather(request, limit)
        except TimeoutError:
            return bad_request(
                HTTPStatus.REQUEST_TIMEOUT, 'the body came too slowly'
            )
        except web.RequestPayloadError as error:
            return bad_request(HTTPStatus.BAD_REQUEST, f'body: {error}')
        if len(body) > limit:
            return bad_request(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'the body is too large'
            )
        return body

    def _response(
        self, forwarded: ForwardingResult, sink: CallerSink
    ) -> web.StreamResponse:
        if isinstance(forwarded, StreamedAnswer):
            return sink.response or web.Response()
        if isinstance(forwarded, UpstreamAnswer):
            response = web.Response(
                status=forwarded.status, body=forwarded.body
            )
            response.headers.extend(forwarded.headers)
            return response
        if isinstance(forwarded, UnknownOutcome):
            return undelivered(forwarded)
        return refusal(forwarded)

    def _note(
        self,
        attempt: str,
        forwarded: ForwardingResult | None,
        arrived_at: float,
    ) -> None:
        """Log and count how a request ended."""
        took = self._clock.monotonic() - arrived_at
        outcome, detail = _outcome(forwarded)
        self._metrics.record_request(outcome, took)
        log_message(
            'request.ended',
            request=attempt,
            outcome=outcome,
            detail=detail,
            ms=round(took * 1000),
        )


def _broken(attempt: str, sink: CallerSink) -> ForwardingResult:
    """Log a fault of this router and end the request that met it."""
    log_message(
        'request.broke', request=attempt, failure=traceback.format_exc()
    )
    if sink.response is None:
        return UnknownOutcome(Reason.BROKEN, 'this router failed')
    sink.abort()
    return StreamedAnswer(is_complete=False)


async def _gather(request: BaseRequest, limit: int) -> bytes:
    """Read the body, up to the first piece beyond the limit."""
    gathered = bytearray()
    while len(gathered) <= limit:
        piece = await request.content.readany()
        if not piece:
            break
        gathered += piece
    return bytes(gathered)


def _outcome(forwarded: ForwardingResult | None) -> tuple[str, str]:
    if forwarded is None:
        return 'caller_left', ''
    if isinstance(forwarded, UpstreamAnswer):
        return f'answer_{forwarded.status}', ''
    if isinstance(forwarded, StreamedAnswer):
        return ('streamed' if forwarded.is_complete else 'cut'), ''
    if isinstance(forwarded, Refusal):
        return f'refused_{forwarded.reason.value}', forwarded.detail
    return f'undelivered_{forwarded.reason.value}', forwarded.detail
