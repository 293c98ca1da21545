"""
bergamotshed.services.client
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Calls plain services over HTTP.
"""

__all__ = ('HttpServiceClient',)

from datetime import timedelta
from urllib.parse import quote

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
)

from ..clock import Clock
from ..retry_after import parse_retry_after
from .types import (
    ServiceAnswer,
    ServiceClient,
    ServiceCut,
    ServiceError,
    ServiceOverloaded,
    ServiceRequest,
    ServiceUnreachable,
)

CONNECT_TIMEOUT = timedelta(seconds=1)
MIN_TIMEOUT_S = 0.001
DEFAULT_CONTENT_TYPE = 'application/octet-stream'

HTTP_TOO_MANY_REQUESTS = 429
HTTP_SERVER_ERROR = 500
HTTP_UNAVAILABLE = 503


class HttpServiceClient(ServiceClient):
    """Calls plain services over HTTP.

    :param connect_timeout: longest time to establish a connection
    """

    def __init__(
        self,
        session: ClientSession,
        clock: Clock,
        connect_timeout: timedelta = CONNECT_TIMEOUT,
    ) -> None:
        self._session = session
        self._connect_timeout_s = connect_timeout.total_seconds()
        self._clock = clock

    async def call(
        self, address: str, request: ServiceRequest, timeout: timedelta
    ) -> ServiceAnswer:
        """Make one attempt; see :meth:`ServiceClient.call`."""
        url = f'http://{address}/calls/{quote(request.call, safe="")}'
        try:
            async with self._session.post(
                url,
                data=request.body,
                headers=_headers(request),
                timeout=ClientTimeout(
                    total=max(timeout.total_seconds(), MIN_TIMEOUT_S),
                    sock_connect=self._connect_timeout_s,
                ),
                allow_redirects=False,
            ) as response:
                return await self._read_answer(response)
        except (ClientError, OSError, TimeoutError) as error:
            raise _to_service_error(error) from error

    async def _read_answer(self, response: ClientResponse) -> ServiceAnswer:
        if response.status in {HTTP_TOO_MANY_REQUESTS, HTTP_UNAVAILABLE}:
            retry_after = response.headers.get('Retry-After', '')
            raise ServiceOverloaded(
                parse_retry_after(retry_after, self._clock.now())
            )
        if response.status >= HTTP_SERVER_ERROR:
            raise ServiceCut(
                f'the service answered with status {response.status}'
            )
        return ServiceAnswer(
            response.status,
            await response.read(),
            response.headers.get('Content-Type', DEFAULT_CONTENT_TYPE),
        )


def _headers(request: ServiceRequest) -> dict[str, str]:
    headers = {
        'Content-Type': request.content_type,
        'X-Organisation': request.organisation,
        'X-Request-Id': request.request_id,
    }
    if request.idempotency_key:
        headers['Idempotency-Key'] = request.idempotency_key
    return headers


def _to_service_error(error: Exception) -> ServiceError:
    """Return the service error for a transport error.

    Only a failed connect proves that the call did not run.
    """
    if isinstance(error, ClientConnectorError | ConnectionTimeoutError):
        return ServiceUnreachable('the service could not be reached')
    return ServiceCut(f'the connection was cut: {type(error).__name__}')
