"""
bergamotshed.routers.relayserver
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Forwards requests for peers that have no way to the upstreams.
"""

__all__ = ('RELAY_PATH', 'ForwardForPeer', 'RelayServer')

import asyncio
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import replace
from datetime import timedelta
from http import HTTPStatus

import msgspec
from aiohttp import web
from aiohttp.client_exceptions import ClientConnectionResetError
from aiohttp.web_request import BaseRequest
from eliot import log_message

from ..clock import Clock
from ..decoding import DECODE_ERRORS
from ..forwarding.types import (
    AnswerSink,
    CallerHeaders,
    RoutedRequest,
    StreamedAnswer,
    UnknownOutcome,
    UpstreamAnswer,
)
from ..intake.bodies import (
    MEMORY_RETRY_AFTER,
    BodyFlaw,
    read_request_body,
)
from ..intake.connection import guard
from ..intake.intake import Intake
from ..reasons import Reason, Refusal
from ..sockets import BACKLOG, enable_keepalive, listen
from .relayframes import (
    MAX_PIECE_BYTES,
    AnswerEnd,
    AnswerHeadFrame,
    AnswerPiece,
    RelayedFailure,
    RelayedRefusal,
    RelayFrame,
    encode_frame,
)

RELAY_PATH = '/v1/requests'
#: Longest request, with its headers; a configuration allows callers less.
MAX_REQUEST_BYTES = 8_388_608
#: A request is held encoded and decoded for a moment.
REQUEST_COST_FACTOR = 2
#: How long a request may take to arrive.
REQUEST_TIMEOUT = timedelta(seconds=10)
#: How long requests in flight may take at shutdown.
CLOSE_TIMEOUT_S = 60

_RelayResult = UpstreamAnswer | StreamedAnswer | Refusal | UnknownOutcome

#: Forwards a request to an upstream that this router reaches itself.
ForwardForPeer = Callable[[RoutedRequest, AnswerSink], Awaitable[_RelayResult]]

_decoder = msgspec.msgpack.Decoder(RoutedRequest)


class FrameSink(AnswerSink):
    """Sends an answer to a peer in frames."""

    def __init__(
        self, response: web.StreamResponse, request: BaseRequest
    ) -> None:
        self._response = response
        self._request = request

    async def start(self, status: int, headers: CallerHeaders) -> None:
        """Send the head."""
        await self.send(AnswerHeadFrame(status, headers, is_stream=True))

    async def write(self, piece: bytes) -> None:
        """Send a piece."""
        for start in range(0, len(piece), MAX_PIECE_BYTES):
            await self.send(AnswerPiece(piece[start : start + MAX_PIECE_BYTES]))

    async def finish(self) -> None:
        """Mark the answer as complete."""
        await self.send(AnswerEnd())

    def abort(self) -> None:
        """Break the connection."""
        if self._request.transport is not None:
            self._request.transport.abort()

    async def send(self, frame: RelayFrame) -> None:
        """Send one frame."""
        await self._response.write(encode_frame(frame))


class RelayServer:
    """Receives requests from other routers.

    :param address: ``ip:port``, reachable by routers only; empty for none
    :ivar in_flight: number of requests that are being answered
    :ivar received_count: number of requests so far
    """

    def __init__(
        self,
        address: str,
        forward: ForwardForPeer,
        clock: Clock,
        intake: Intake,
    ) -> None:
        self.in_flight = 0
        self.received_count = 0
        self._address = address
        self._forward = forward
        self._clock = clock
        self._intake = intake
        self._listener: asyncio.Server | None = None
        self._server = web.Server(self._handle, handler_cancellation=True)

    async def start(self) -> None:
        """Start to accept connections.

        :raises OSError: the address is in use
        """
        if not self._address:
            return
        listener = listen(self._address)
        # Accepted connections inherit the options.
        enable_keepalive(listener)
        self._listener = await asyncio.get_running_loop().create_server(
            guard(self._server, self._intake, auto_decompress=False),
            sock=listener,
            backlog=BACKLOG,
        )

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._listener is not None:
            self._listener.close()
        self._server.pre_shutdown()
        await self._server.shutdown(CLOSE_TIMEOUT_S)

    async def _handle(self, request: BaseRequest) -> web.StreamResponse:
        arrived_at = self._clock.monotonic()
        payload = await read_request_body(
            request, MAX_REQUEST_BYTES, REQUEST_TIMEOUT, REQUEST_COST_FACTOR
        )
        if isinstance(payload, BodyFlaw):
            log_message('relay.unread', detail=payload.value)
            return _flaw_response(payload)
        try:
            routed = _decoder.decode(payload)
        except DECODE_ERRORS as error:
            log_message('relay.malformed', detail=str(error))
            return web.Response(status=HTTPStatus.BAD_REQUEST)
        self.in_flight += 1
        self.received_count += 1
        try:
            return await self._answer(
                request, replace(routed, arrived_at=arrived_at)
            )
        finally:
            self.in_flight -= 1

    async def _answer(
        self, request: BaseRequest, routed: RoutedRequest
    ) -> web.StreamResponse:
        response = web.StreamResponse()
        response.force_close()
        await response.prepare(request)
        sink = FrameSink(response, request)
        result: _RelayResult | None = None
        try:
            result = await self._forward(routed, sink)
            await _send_result(result, sink)
            await response.write_eof()
        except ClientConnectionResetError as error:
            log_message(
                'relay.peer_left', request=routed.attempt_id, detail=str(error)
            )
        except Exception:
            log_message(
                'relay.broke',
                request=routed.attempt_id,
                failure=traceback.format_exc(),
            )
            sink.abort()
        finally:
            log_message(
                'relay.served',
                request=routed.attempt_id,
                result='left' if result is None else type(result).__name__,
                ms=round((self._clock.monotonic() - routed.arrived_at) * 1000),
            )
        return response


def _flaw_response(flaw: BodyFlaw) -> web.Response:
    """Return the response to a request that was not read."""
    response = web.Response(status=HTTPStatus.BAD_REQUEST)
    if flaw is BodyFlaw.NO_MEMORY:
        response = web.Response(
            body=encode_frame(
                _relayed_refusal(
                    Refusal(Reason.OVERLOADED, MEMORY_RETRY_AFTER, flaw.value)
                )
            )
        )
    response.force_close()
    return response


def _relayed_refusal(refusal: Refusal) -> RelayedRefusal:
    retry_after = -1
    if refusal.retry_after is not None:
        retry_after = round(refusal.retry_after.total_seconds() * 1000)
    return RelayedRefusal(refusal.reason.value, retry_after, refusal.detail)


async def _send_result(result: _RelayResult, sink: FrameSink) -> None:
    """Send what was not sent as a stream."""
    if isinstance(result, UpstreamAnswer):
        await sink.send(
            AnswerHeadFrame(result.status, result.headers, is_stream=False)
        )
        await sink.write(result.body)
        await sink.finish()
    elif isinstance(result, Refusal):
        await sink.send(_relayed_refusal(result))
    elif isinstance(result, UnknownOutcome):
        await sink.send(
            RelayedFailure(
                result.reason.value, result.detail, result.has_timed_out
            )
        )
