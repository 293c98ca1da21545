"""
bergamotshed.engines.client
~~~~~~~~~~~~~~~~~~~~~~~~~~~

The HTTP client of the engines.
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
from msgspec import DecodeError
from msgspec.json import Decoder, encode

from ..clock import Clock
from ..http_traffic import CountTraffic, count_exchange, ignore_traffic
from .assemble import StreamAssembler
from .stream import EventParser
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
DRAIN_TIMEOUT_S = 0.2

NO_RESUME = b',"resume":null}'


class HttpEngineClient(EngineClient):
    """Speaks HTTP and server-sent events to engines.

    :param idle: the longest silence of a stream before it counts as cut
    :param connect: how long a connection may take to be made
    :param traffic: counts the bytes of reports, orders and cancellations
    """

    def __init__(
        self,
        session: ClientSession,
        clock: Clock,
        idle: timedelta,
        traffic: CountTraffic | None = None,
        connect: timedelta = CONNECT_TIMEOUT,
    ) -> None:
        self._traffic = traffic or ignore_traffic
        self._transport = EngineTransport(session, clock)
        self._stream_timeout = ClientTimeout(
            total=None,
            sock_connect=connect.total_seconds(),
            sock_read=idle.total_seconds(),
        )
        self._call_timeout = ClientTimeout(
            total=SHORT_CALL_TIMEOUT_S, sock_connect=connect.total_seconds()
        )
        self._load_decoder = Decoder(LoadReport)

    def stream(
        self, address: str, request: EngineRequest
    ) -> AsyncIterator[Chunk | Finish]:
        """Run one attempt; see :meth:`EngineClient.stream`."""
        url = f'http://{address}/v1/chat/completions'
        offset = request.resume.offset if request.resume else 0
        assembler = StreamAssembler(request.request, request.attempt, offset)
        return self._events('POST', url, _encoded(request), assembler)

    def reattach(
        self, address: str, request: EngineRequest, offset: int
    ) -> AsyncIterator[Chunk | Finish]:
        """Go on with a running stream; see :meth:`EngineClient.reattach`."""
        url = (
            f'http://{address}/v1/requests/{request.request}/stream'
            f'?from={offset}&attempt={request.attempt}'
        )
        assembler = StreamAssembler(request.request, request.attempt, offset)
        return self._events('GET', url, None, assembler)

    async def cancel(self, address: str, request: str) -> None:
        """Stop a request; silent when the engine can't be reached."""
        url = f'http://{address}/v1/requests/{request}/cancel'
        with suppress(EngineError):
            await self._call('POST', url, None)

    async def load(self, address: str) -> LoadReport:
        """Read the load report.

        :raises EngineError: it can't be read now
        """
        answer = await self._call('GET', f'http://{address}/v1/load', None)
        try:
            return self._load_decoder.decode(answer)
        except DecodeError as error:
            raise EngineCut('the load report is malformed') from error

    async def order(self, address: str, order: Order) -> None:
        """Give an order; see :meth:`EngineClient.order`."""
        url = f'http://{address}/v1/orders'
        await self._call('POST', url, encode(order))

    async def _events(
        self,
        method: str,
        url: str,
        body: bytes | None,
        assembler: StreamAssembler,
    ) -> AsyncIterator[Chunk | Finish]:
        timeout = self._stream_timeout
        async with self._transport.open(method, url, body, timeout) as response:
            parser = EventParser()
            while not assembler.finished:
                received = await _received(response)
                for event in assembler.accept_all(parser.feed(received)):
                    yield event
            await _drain(response)

    async def _call(self, method: str, url: str, body: bytes | None) -> bytes:
        timeout = self._call_timeout
        async with self._transport.open(method, url, body, timeout) as response:
            answer = await response.read()
            count_exchange(
                self._traffic, PEER, response, len(body or b''), len(answer)
            )
            return answer


async def _received(response: ClientResponse) -> bytes:
    received = await response.content.readany()
    if not received:
        raise EngineCut('the stream ended without its finish event')
    return received


async def _drain(response: ClientResponse) -> None:
    """Read to the end after the finish event, so that the connection lasts."""
    with suppress(ClientError, OSError):
        async with asyncio.timeout(DRAIN_TIMEOUT_S):
            await response.read()


def _encoded(request: EngineRequest) -> bytes:
    encoded = encode(request)
    if request.resume is None:
        return encoded.removesuffix(NO_RESUME) + b'}'
    return encoded
