"""
bergamotshed.engines.transport
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One HTTP exchange with an engine; transport errors become engine errors.
"""

__all__ = ('EngineTransport',)

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
)
from msgspec import Struct
from msgspec.json import Decoder

from ..clock import Clock
from ..decoding import DECODE_ERRORS
from ..retry_after import parse_retry_after
from .types import (
    EngineCut,
    EngineDown,
    EngineError,
    EngineOverloaded,
    EngineRejected,
    EngineSilent,
    EngineUnreachable,
    OrderRefused,
)

MAX_ERROR_BODY_BYTES = 200

HTTP_OK = 200
HTTP_MULTIPLE_CHOICES = 300
HTTP_BAD_REQUEST = 400
HTTP_CONFLICT = 409
HTTP_TOO_MANY_REQUESTS = 429
HTTP_SERVER_ERROR = 500
HTTP_UNAVAILABLE = 503

_JSON_HEADERS = {'Content-Type': 'application/json'}


class OrderRefusalBody(Struct):
    """The body with which an engine refuses an order.

    :ivar fence: the newest fencing token that it has seen
    """

    fence: int


_refusal_decoder = Decoder(OrderRefusalBody)


class EngineTransport:
    """Opens exchanges.

    Redirects are not followed, because that would send the request twice.
    """

    def __init__(self, session: ClientSession, clock: Clock) -> None:
        self._session = session
        self._clock = clock

    @asynccontextmanager
    async def open(
        self, method: str, url: str, body: bytes | None, timeout: ClientTimeout
    ) -> AsyncIterator[ClientResponse]:
        """Send a request and yield its response, if it is successful.

        :raises EngineError: the request failed, or the response broke off
        """
        try:
            async with self._session.request(
                method,
                url,
                data=body,
                headers=_JSON_HEADERS,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                await self._check_status(response)
                yield response
        except (ClientError, OSError) as error:
            raise _to_engine_error(error) from error

    async def _check_status(self, response: ClientResponse) -> None:
        status = response.status
        if HTTP_OK <= status < HTTP_MULTIPLE_CHOICES:
            return
        if status in {HTTP_TOO_MANY_REQUESTS, HTTP_UNAVAILABLE}:
            retry_after = response.headers.get('Retry-After', '')
            raise EngineOverloaded(
                parse_retry_after(retry_after, self._clock.now())
            )
        body = await response.content.read(MAX_ERROR_BODY_BYTES)
        if status == HTTP_CONFLICT and response.url.path == '/v1/orders':
            raise _to_order_error(body)
        if HTTP_BAD_REQUEST <= status < HTTP_SERVER_ERROR:
            raise EngineRejected(status, body.decode(errors='replace'))
        raise EngineCut(f'the engine answered with status {status}')


def _to_engine_error(error: ClientError | OSError) -> EngineError:
    """Return the engine error for a transport error.

    Only a failed connect proves that the request did not run.
    """
    if isinstance(error, ClientConnectorError):
        if isinstance(error.os_error, ConnectionRefusedError):
            return EngineDown('the engine refused the connection')
        return EngineUnreachable('the engine could not be reached')
    if isinstance(error, ConnectionTimeoutError):
        return EngineUnreachable('connecting to the engine timed out')
    if isinstance(error, TimeoutError):
        return EngineSilent('reading from the engine timed out')
    return EngineCut(f'the connection was cut: {type(error).__name__}')


def _to_order_error(body: bytes) -> EngineError:
    try:
        refusal = _refusal_decoder.decode(body)
    except DECODE_ERRORS:
        return EngineRejected(HTTP_CONFLICT, 'the order was refused')
    return OrderRefused(refusal.fence)
