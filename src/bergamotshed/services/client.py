"""
bergamotshed.services.client
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Calls plain services over HTTP.
"""

__all__ = ('HttpServiceClient',)

import asyncio
from datetime import timedelta
from http import HTTPStatus
from urllib.parse import quote

from ..clock import Clock
from ..retry_after import parse_retry_after
from ..upstreams.connection import UpstreamConnection
from ..upstreams.parsing import headers_by_name, parse_keep_alive
from ..upstreams.pool import ConnectionPool
from ..upstreams.types import UpstreamAnswerBroken, UpstreamNotReached
from .types import (
    ServiceAnswer,
    ServiceClient,
    ServiceCut,
    ServiceOverloaded,
    ServiceRequest,
    ServiceUnreachable,
)

MIN_TIMEOUT = timedelta(milliseconds=1)
DEFAULT_CONTENT_TYPE = b'application/octet-stream'
NO_ENCODING = b'identity'

_REFUSALS = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)


class HttpServiceClient(ServiceClient):
    """Calls plain services over HTTP.

    It uses the connections of :mod:`~bergamotshed.upstreams`, because the
    usual clients take a reset for the end of an answer without a length.
    """

    def __init__(self, pool: ConnectionPool, clock: Clock) -> None:
        self._pool = pool
        self._clock = clock

    async def call(
        self, address: str, request: ServiceRequest, timeout: timedelta
    ) -> ServiceAnswer:
        """Make one attempt; see :meth:`ServiceClient.call`."""
        now = asyncio.get_running_loop().time()
        deadline = now + max(timeout, MIN_TIMEOUT).total_seconds()
        try:
            async with asyncio.timeout_at(deadline):
                connection = await self._pool.acquire(address, repeatable=False)
        except (UpstreamNotReached, TimeoutError) as error:
            raise ServiceUnreachable(
                'the service could not be reached'
            ) from error
        keep_alive_s: float | None = 0
        try:
            async with asyncio.timeout_at(deadline):
                answer, keep_alive_s = await self._exchange(
                    connection, address, request
                )
        except UpstreamAnswerBroken as error:
            raise ServiceCut(f'the answer broke off: {error}') from error
        except TimeoutError as error:
            raise ServiceCut('no whole answer in time') from error
        finally:
            self._pool.release(connection, keep_alive_s)
        return answer

    async def _exchange(
        self,
        connection: UpstreamConnection,
        address: str,
        request: ServiceRequest,
    ) -> tuple[ServiceAnswer, float | None]:
        """Return the answer and the keep-alive time of the connection."""
        if not connection.send(_write_request(address, request)):
            raise ServiceUnreachable('the connection was closed')
        head = await connection.read_head()
        by_name = headers_by_name(head.headers)
        if head.status in _REFUSALS:
            retry_after = by_name.get(b'retry-after', b'').decode('latin-1')
            raise ServiceOverloaded(
                parse_retry_after(retry_after, self._clock.now())
            )
        if head.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            raise ServiceCut(f'the service answered with status {head.status}')
        encoding = by_name.get(b'content-encoding', NO_ENCODING)
        if encoding.lower() != NO_ENCODING:
            raise ServiceCut('the service answered with an encoded body')
        answer = ServiceAnswer(
            head.status,
            await connection.read_body(),
            by_name.get(b'content-type', DEFAULT_CONTENT_TYPE).decode(
                'latin-1'
            ),
        )
        return answer, parse_keep_alive(by_name)


def _write_request(address: str, request: ServiceRequest) -> bytes:
    lines = [
        f'POST /calls/{quote(request.call, safe="")} HTTP/1.1',
        f'Host: {address}',
        f'Content-Type: {request.content_type}',
        f'Content-Length: {len(request.body)}',
        f'X-Organisation: {request.organisation}',
        f'X-Request-Id: {request.request_id}',
    ]
    if request.idempotency_key:
        lines.append(f'Idempotency-Key: {request.idempotency_key}')
    head = '\r\n'.join((*lines, '', ''))
    return head.encode('utf-8', 'surrogateescape') + request.body
