"""
bergamotshed.routers.requestrelay
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Has peers forward requests while this router has no way to the upstreams.
"""

__all__ = ('RequestRelay',)

import random
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import replace
from datetime import timedelta

import msgspec
from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
)
from eliot import log_message

from ..clock import Clock
from ..forwarding.exchange import MAX_BUFFERED_BYTES
from ..forwarding.peer_forwarder import PeerForwarder
from ..forwarding.request_timeouts import RequestTimeouts
from ..forwarding.types import (
    AnswerSink,
    CallerHeaders,
    RoutedRequest,
    StreamedAnswer,
    UnknownOutcome,
    UpstreamAnswer,
)
from ..reasons import Reason, Refusal
from ..roster.types import RosterEntry
from .relayframes import (
    AnswerEnd,
    AnswerHeadFrame,
    AnswerPiece,
    RelayedFailure,
    RelayedRefusal,
    RelayFrameError,
    read_frame,
)
from .relayserver import RELAY_PATH

#: Peers that are asked in turn.
MAX_PEERS = 3
#: How long connecting to a peer may take: several times the latency between
#: failure domains.
CONNECT_TIMEOUT_S = 0.3

#: Refusals of peers that are no better off than this router, so that another
#: peer may still take the request.
_PEER_REASONS = frozenset(
    (
        Reason.UPSTREAMS_LOST,
        Reason.ENGINE_UNREACHED,
        Reason.NO_CONFIGURATION,
        Reason.STALE_CONFIGURATION,
        Reason.STOPPING,
    )
)

_Result = UpstreamAnswer | StreamedAnswer | Refusal | UnknownOutcome


class StartedSink(AnswerSink):
    """Records whether an answer was begun.

    :ivar is_started: the head was sent
    """

    def __init__(self, sink: AnswerSink) -> None:
        self.is_started = False
        self._sink = sink

    async def start(self, status: int, headers: CallerHeaders) -> None:
        """Send the head."""
        self.is_started = True
        await self._sink.start(status, headers)

    async def write(self, piece: bytes) -> None:
        """Send a piece."""
        await self._sink.write(piece)

    async def finish(self) -> None:
        """Mark the answer as complete."""
        await self._sink.finish()

    def abort(self) -> None:
        """Break the connection."""
        self._sink.abort()


class RequestRelay(PeerForwarder):
    """Sends requests to peers that reach the service.

    :param peers: returns the routers that may reach a service
    """

    def __init__(
        self,
        session: ClientSession,
        peers: Callable[[str], Sequence[RosterEntry]],
        timeouts: RequestTimeouts,
        clock: Clock,
    ) -> None:
        self._session = session
        self._peers = peers
        self._timeouts = timeouts
        self._clock = clock

    async def forward(
        self,
        request: RoutedRequest,
        service: str,
        deadline: float,
        sink: AnswerSink,
    ) -> _Result | None:
        """Forward a request; see :meth:`PeerForwarder.forward`."""
        peers = [peer for peer in self._peers(service) if peer.relay]
        refusal = None
        for peer in random.sample(peers, min(len(peers), MAX_PEERS)):
            remaining_s = max(0, deadline - self._clock.monotonic())
            result = await self._send_in_time(
                peer,
                replace(request, time_allowed=timedelta(seconds=remaining_s)),
                sink,
            )
            log_message(
                'request.relayed',
                request=request.attempt_id,
                peer=peer.name,
                service=service,
                result='not_sent' if result is None else type(result).__name__,
            )
            if isinstance(result, Refusal) and result.reason in _PEER_REASONS:
                refusal = result
            elif result is not None:
                return result
        return refusal

    async def _send_in_time(
        self, peer: RosterEntry, request: RoutedRequest, sink: AnswerSink
    ) -> _Result | None:
        """Send a request to one peer; return ``None`` if it was not sent."""
        started = StartedSink(sink)
        time_allowed = request.time_allowed or timedelta(0)
        try:
            async with self._timeouts.limit(time_allowed.total_seconds()):
                return await self._send(peer, request, started)
        except TimeoutError:
            if not started.is_started:
                return UnknownOutcome(
                    Reason.ENGINE_SILENT,
                    'no answer in time',
                    has_timed_out=True,
                )
            sink.abort()
            return StreamedAnswer(is_complete=False)

    async def _send(
        self, peer: RosterEntry, request: RoutedRequest, sink: AnswerSink
    ) -> _Result | None:
        try:
            async with self._session.post(
                f'http://{peer.relay}{RELAY_PATH}',
                data=msgspec.msgpack.encode(request),
                headers={'Connection': 'close'},
                timeout=ClientTimeout(sock_connect=CONNECT_TIMEOUT_S),
            ) as response:
                return await _receive(response, sink)
        except (ClientConnectorError, ConnectionTimeoutError) as error:
            log_message('relay.unreached', peer=peer.name, detail=repr(error))
            return None
        except (ClientError, OSError) as error:
            return UnknownOutcome(Reason.PEER_BROKEN, repr(error))


async def _receive(response: ClientResponse, sink: AnswerSink) -> _Result:
    """Read the frames of one answer."""
    reader = response.content
    try:
        first = await read_frame(reader)
    except (RelayFrameError, ClientError, OSError) as error:
        return UnknownOutcome(Reason.PEER_BROKEN, repr(error))
    if isinstance(first, RelayedRefusal):
        retry_after = None
        if first.retry_after >= 0:
            retry_after = timedelta(milliseconds=first.retry_after)
        return Refusal(_reason(first.reason), retry_after, first.detail)
    if isinstance(first, RelayedFailure):
        return UnknownOutcome(
            _reason(first.reason), first.detail, first.has_timed_out
        )
    if not isinstance(first, AnswerHeadFrame):
        return UnknownOutcome(Reason.PEER_BROKEN, 'an answer without a head')
    if first.is_stream:
        return await _pass_on(response, first, sink)
    return await _collect(response, first)


async def _pass_on(
    response: ClientResponse, head: AnswerHeadFrame, sink: AnswerSink
) -> StreamedAnswer:
    await sink.start(head.status, head.headers)
    try:
        async for piece in _pieces(response):
            await sink.write(piece)
    except (RelayFrameError, ClientError, OSError) as error:
        log_message('relay.cut', detail=repr(error))
        sink.abort()
        return StreamedAnswer(is_complete=False)
    await sink.finish()
    return StreamedAnswer(is_complete=True)


async def _collect(
    response: ClientResponse, head: AnswerHeadFrame
) -> UpstreamAnswer | UnknownOutcome:
    body = bytearray()
    try:
        async for piece in _pieces(response):
            body += piece
            if len(body) > MAX_BUFFERED_BYTES:
                raise RelayFrameError('an answer that should be a stream')
    except (RelayFrameError, ClientError, OSError) as error:
        return UnknownOutcome(Reason.PEER_BROKEN, repr(error))
    return UpstreamAnswer(head.status, head.headers, bytes(body))


async def _pieces(response: ClientResponse) -> AsyncIterator[bytes]:
    """Yield the pieces of an answer up to its end.

    :raises RelayFrameError: it ends without a frame that says so
    """
    frame = await read_frame(response.content)
    while isinstance(frame, AnswerPiece):
        yield frame.body
        frame = await read_frame(response.content)
    if not isinstance(frame, AnswerEnd):
        raise RelayFrameError(f'{type(frame).__name__} within an answer')


def _reason(value: str) -> Reason:
    """Return a reason; a peer may have a newer version with others."""
    try:
        return Reason(value)
    except ValueError:
        return Reason.PEER_BROKEN
