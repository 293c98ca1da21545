"""
bergamotshed.engines.client
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Calls the HTTP interface of the engines.
"""

__all__ = ('HttpEngineClient',)

import asyncio
from collections.abc import AsyncIterator
from contextlib import suppress
from datetime import timedelta

from aiohttp import (
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
)
from msgspec.json import Decoder, encode

from ..clock import Clock
from ..decoding import DECODE_ERRORS
from ..http_bodies import read_body
from ..http_traffic import CountTraffic, count_exchange, ignore_traffic
from .assemble import StreamAssembler
from .event_parser import EventParser
from .transport import EngineTransport
from .types import (
    Chunk,
    EngineClient,
    EngineCut,
    EngineError,
    EngineRequest,
    Finish,
    LoadReport,
    Order,
)

PEER = 'engines'
CONNECT_TIMEOUT = timedelta(seconds=1)
SHORT_CALL_TIMEOUT_S = 1.0
READ_REST_TIMEOUT_S = 0.2

NULL_RESUME_SUFFIX = b',"resume":null}'


class HttpEngineClient(EngineClient):
    """Calls engines over HTTP and reads their server-sent events.

    :param idle_timeout: longest time without a byte before a stream counts
        as cut
    :param connect_timeout: longest time to establish a connection
    :param traffic: counts the bytes of load reports, orders and
        cancellations
    """

    def __init__(
        self,
        session: ClientSession,
        clock: Clock,
        idle_timeout: timedelta,
        traffic: CountTraffic | None = None,
        connect_timeout: timedelta = CONNECT_TIMEOUT,
    ) -> None:
        self._traffic = traffic or ignore_traffic
        self._transport = EngineTransport(session, clock)
        self._stream_timeout = ClientTimeout(
            total=None,
            sock_connect=connect_timeout.total_seconds(),
            sock_read=idle_timeout.total_seconds(),
        )
        self._call_timeout = ClientTimeout(
            total=SHORT_CALL_TIMEOUT_S,
            sock_connect=connect_timeout.total_seconds(),
        )
        self._load_decoder = Decoder(LoadReport)

    def stream(
        self, address: str, request: EngineRequest
    ) -> AsyncIterator[Chunk | Finish]:
        """Run one attempt; see :meth:`EngineClient.stream`."""
        url = f'http://{address}/v1/chat/completions'
        offset = request.resume.offset if request.resume else 0
        assembler = StreamAssembler(request.request, request.attempt, offset)
        return self._stream_events(
            'POST', url, _encode_request(request), assembler
        )

    def reattach(
        self, address: str, request: EngineRequest, offset: int
    ) -> AsyncIterator[Chunk | Finish]:
        """Continue a running stream; see :meth:`EngineClient.reattach`."""
        url = (
            f'http://{address}/v1/requests/{request.request}/stream'
            f'?from={offset}&attempt={request.attempt}'
        )
        assembler = StreamAssembler(request.request, request.attempt, offset)
        return self._stream_events('GET', url, None, assembler)

    async def cancel(self, address: str, request: str) -> None:
        """Cancel a request; errors of the engine are ignored."""
        url = f'http://{address}/v1/requests/{request}/cancel'
        with suppress(EngineError):
            await self._call('POST', url, None)

    async def load(self, address: str) -> LoadReport:
        """Read the load report.

        :raises EngineError: the report can't be read now
        """
        answer = await self._call('GET', f'http://{address}/v1/load', None)
        try:
            return self._load_decoder.decode(answer)
        except DECODE_ERRORS as error:
            raise EngineCut('the load report is malformed') from error

    async def order(self, address: str, order: Order) -> None:
        """Send an order; see :meth:`EngineClient.order`."""
        url = f'http://{address}/v1/orders'
        await self._call('POST', url, encode(order))

    async def _stream_events(
        self,
        method: str,
        url: str,
        body: bytes | None,
        assembler: StreamAssembler,
    ) -> AsyncIterator[Chunk | Finish]:
        timeout = self._stream_timeout
        async with self._transport.open(method, url, body, timeout) as response:
            parser = EventParser()
            while not assembler.is_finished:
                received = await _read_bytes(response)
                for event in assembler.accept_all(parser.feed(received)):
                    yield event
            await _read_rest(response)

    async def _call(self, method: str, url: str, body: bytes | None) -> bytes:
        timeout = self._call_timeout
        async with self._transport.open(method, url, body, timeout) as response:
            answer = await read_body(response)
            count_exchange(
                self._traffic, PEER, response, len(body or b''), len(answer)
            )
            return answer


async def _read_bytes(response: ClientResponse) -> bytes:
    received = await response.content.readany()
    if not received:
        raise EngineCut('the stream ended without a finish event')
    return received


async def _read_rest(response: ClientResponse) -> None:
    """Read what follows the finish event, so that the connection is reused."""
    with suppress(ClientError, OSError):
        async with asyncio.timeout(READ_REST_TIMEOUT_S):
            await read_body(response)


def _encode_request(request: EngineRequest) -> bytes:
    encoded = encode(request)
    if request.resume is None:
        return encoded.removesuffix(NULL_RESUME_SUFFIX) + b'}'
    return encoded
