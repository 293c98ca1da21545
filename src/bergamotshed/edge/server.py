"""
bergamotshed.edge.server
~~~~~~~~~~~~~~~~~~~~~~~~

HTTP server that receives routed requests.
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

from ..clock import Clock
from ..forwarding.dialect import Dialect, RequestMalformed
from ..forwarding.forwarder import Forwarder, ForwardingResult
from ..forwarding.types import StreamedAnswer, UnknownOutcome, UpstreamAnswer
from ..intake.bodies import (
    MEMORY_RETRY_AFTER,
    BodyFlaw,
    read_request_body,
)
from ..intake.connection import guard
from ..intake.intake import Intake
from ..process.requests import RequestMetrics
from ..reasons import Reason, Refusal
from ..routes.types import RequestLimits
from ..sockets import BACKLOG, listen, time_since_receive
from .responses import (
    bad_request_response,
    refusal_response,
    unknown_outcome_response,
)
from .sink import CallerSink

#: Colon, space and line end of a header.
HEADER_SEPARATOR_BYTES = 4
#: How long written bytes may stay unacknowledged by a caller.
UNACKNOWLEDGED_LIMIT = timedelta(seconds=5)
#: How long open connections may take to close at shutdown; zero would mean no
#: limit to the library.
CLOSE_TIMEOUT_S = 0.1
#: How long a body may take to arrive, independent of the caller's deadline.
BODY_TIMEOUT = timedelta(seconds=10)
#: How long after its start the server reads requests that arrived before it:
#: some tens of iterations of the event loop.
CATCH_UP_TIME = timedelta(milliseconds=100)
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
DEFAULT_LIMITS = RequestLimits()


@dataclass(frozen=True, slots=True)
class EdgeOptions:
    """Options of the server.

    :ivar address: ``ip:port``
    :ivar idle_timeout: how long a caller's idle connection is kept open
    """

    address: str
    idle_timeout: timedelta


class EdgeServer:
    """Receives callers' requests on one address.

    :ivar in_flight: number of requests that are being answered
    :ivar limits: limits of requests, as in the configuration
    :ivar intake: the account of what clients cost
    """

    def __init__(
        self,
        options: EdgeOptions,
        forwarder: Forwarder,
        dialect: Dialect,
        metrics: RequestMetrics,
        clock: Clock,
        intake: Intake,
    ) -> None:
        self.in_flight = 0
        self.limits = DEFAULT_LIMITS
        self.intake = intake
        self._options = options
        self._forwarder = forwarder
        self._dialect = dialect
        self._metrics = metrics
        self._clock = clock
        self._is_draining = False
        self._caught_up_at = -math.inf
        self._listener: asyncio.Server | None = None
        self._server = web.Server(self._handle, handler_cancellation=True)
        self._connect = guard(
            self._server,
            intake,
            auto_decompress=False,
            idle_timeout=options.idle_timeout,
        )

    @property
    def is_answering(self) -> bool:
        """Return whether any answer is not made or not sent whole."""
        return self.in_flight > 0 or any(
            connection.transport is not None
            and connection.transport.get_write_buffer_size() > 0
            for connection in self._server.connections
        )

    async def start(
        self, listening_socket: socket.socket | None = None
    ) -> None:
        """Start to accept connections.

        :param listening_socket: a socket that already listens; without one, the
            server opens its own on the address
        :raises OSError: the address is in use
        """
        loop = asyncio.get_running_loop()
        self._caught_up_at = (
            self._clock.monotonic() + CATCH_UP_TIME.total_seconds()
        )
        self._listener = await loop.create_server(
            self._connect,
            sock=listening_socket or listen(self._options.address),
            backlog=BACKLOG,
        )
        for listening_socket in self._listener.sockets:
            listening_socket.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                UNACKNOWLEDGED_LIMIT // timedelta(milliseconds=1),
            )

    def drain(self) -> None:
        """Close each connection after its next answer."""
        self._is_draining = True

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._listener is not None:
            self._listener.close()
        await self._server.shutdown(CLOSE_TIMEOUT_S)

    async def _handle(self, request: BaseRequest) -> web.StreamResponse:
        arrived_at = self._arrival_time(request)
        self.in_flight += 1
        try:
            response = await self._answer(request, arrived_at)
        finally:
            self.in_flight -= 1
        if self._is_draining:
            response.force_close()
        return response

    def _arrival_time(self, request: BaseRequest) -> float:
        """Return when a request arrived that was just read.

        The time that it waited while the process started counts against its
        deadline.
        """
        now = self._clock.monotonic()
        if now >= self._caught_up_at or request.transport is None:
            return now
        connection = request.transport.get_extra_info('socket')
        try:
            wait_time = time_since_receive(connection)
        except OSError as error:
            log_message('request.arrival_unknown', detail=str(error))
            return now
        return now - wait_time.total_seconds()

    async def _answer(
        self, request: BaseRequest, arrived_at: float
    ) -> web.StreamResponse:
        if _header_bytes(request) > self.limits.max_header_bytes:
            return bad_request_response(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                'the headers are too large',
            )
        body = await self._read_body(request)
        if isinstance(body, BodyFlaw):
            return _flaw_response(body)
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
            return bad_request_response(HTTPStatus.BAD_REQUEST, str(error))
        sink = CallerSink(request, should_close=self._is_draining)
        result: ForwardingResult | None = None
        try:
            result = await self._forwarder.forward(routed, sink)
        except ClientConnectionResetError:
            result = StreamedAnswer(is_complete=False)
        except Exception:
            result = _handle_fault(routed.attempt_id, sink)
        finally:
            self._record_end(routed.attempt_id, result, arrived_at)
        return self._build_response(result, sink)

    async def _read_body(self, request: BaseRequest) -> bytes | BodyFlaw:
        expectation = request.headers.get('Expect', '').lower()
        if request.body_exists and expectation == '100-continue':
            await request.writer.write(CONTINUE)
            request.writer.output_size = 0
        return await read_request_body(
            request, self.limits.max_body_bytes, BODY_TIMEOUT
        )

    def _build_response(
        self, result: ForwardingResult, sink: CallerSink
    ) -> web.StreamResponse:
        if isinstance(result, StreamedAnswer):
            return sink.response or web.Response()
        if isinstance(result, UpstreamAnswer):
            response = web.Response(status=result.status, body=result.body)
            response.headers.extend(result.headers)
            return response
        if isinstance(result, UnknownOutcome):
            return unknown_outcome_response(result)
        return refusal_response(result)

    def _record_end(
        self,
        attempt_id: str,
        result: ForwardingResult | None,
        arrived_at: float,
    ) -> None:
        """Log the outcome of a request and record it in the metrics."""
        duration_s = self._clock.monotonic() - arrived_at
        outcome, detail = _classify_result(result)
        self._metrics.record_request(outcome, duration_s)
        log_message(
            'request.ended',
            request=attempt_id,
            outcome=outcome,
            detail=detail,
            ms=round(duration_s * 1000),
        )


def _handle_fault(attempt_id: str, sink: CallerSink) -> ForwardingResult:
    """Log an unexpected exception and end the request that raised it."""
    log_message(
        'request.broke', request=attempt_id, failure=traceback.format_exc()
    )
    if sink.response is None:
        return UnknownOutcome(Reason.BROKEN, 'this router failed')
    sink.abort()
    return StreamedAnswer(is_complete=False)


def _header_bytes(request: BaseRequest) -> int:
    return sum(
        len(name) + len(field) + HEADER_SEPARATOR_BYTES
        for name, field in request.raw_headers
    )


def _flaw_response(flaw: BodyFlaw) -> web.Response:
    """Return the response to a request whose body was not read."""
    if flaw is not BodyFlaw.NO_MEMORY:
        return bad_request_response(flaw.status, flaw.value)
    response = refusal_response(
        Refusal(Reason.OVERLOADED, MEMORY_RETRY_AFTER, flaw.value)
    )
    # The unread body may still follow on the connection.
    response.force_close()
    return response


def _classify_result(result: ForwardingResult | None) -> tuple[str, str]:
    if result is None:
        return 'caller_left', ''
    if isinstance(result, UpstreamAnswer):
        return f'answer_{result.status}', ''
    if isinstance(result, StreamedAnswer):
        return ('streamed' if result.is_complete else 'cut'), ''
    if isinstance(result, Refusal):
        return f'refused_{result.reason.value}', result.detail
    return f'undelivered_{result.reason.value}', result.detail
