"""
bergamotshed.weights.client
~~~~~~~~~~~~~~~~~~~~~~~~~~~

HTTP client of the weight store.
"""

__all__ = ('HttpWeightStore',)

from datetime import timedelta
from http import HTTPStatus

import msgspec
from aiohttp import (
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    hdrs,
)

from ..decoding import DECODE_ERRORS
from ..http_bodies import read_body
from ..http_traffic import CountTraffic, count_exchange, ignore_traffic
from .types import (
    WeightsRequest,
    WeightStore,
    WeightStoreBusy,
    WeightStoreUnavailable,
)

_CALL_ERRORS = (ClientError, OSError, *DECODE_ERRORS)

PEER = 'weights'
TIMEOUT = ClientTimeout(total=3, sock_connect=1)
DEFAULT_RETRY_AFTER = timedelta(seconds=1)


class FetchBody(msgspec.Struct):
    """JSON body of a request for a ticket."""

    model: str
    version: str
    engine: str


class TicketBody(msgspec.Struct):
    """JSON body of the answer."""

    ticket: str


class HttpWeightStore(WeightStore):
    """Requests tickets over one HTTP session.

    :param base_url: URL of the store
    :param traffic: counts the bytes of each exchange
    """

    def __init__(
        self,
        base_url: str,
        session: ClientSession,
        traffic: CountTraffic | None = None,
    ) -> None:
        self._url = f'{base_url.rstrip("/")}/v1/fetches'
        self._session = session
        self._traffic = traffic or ignore_traffic

    async def fetch(self, request: WeightsRequest) -> str:
        """Return the ticket with which the engine fetches.

        :raises WeightStoreBusy: the rate limit is reached
        :raises WeightStoreUnavailable: the store refused or can't be reached
        """
        body = FetchBody(request.model, request.version, request.engine)
        try:
            return await self._fetch(msgspec.json.encode(body))
        except _CALL_ERRORS as error:
            raise WeightStoreUnavailable(
                f'no ticket received: {error!r}'
            ) from error

    async def _fetch(self, body: bytes) -> str:
        async with self._session.post(
            self._url, data=body, timeout=TIMEOUT, allow_redirects=False
        ) as response:
            content = await read_body(response)
            count_exchange(
                self._traffic, PEER, response, len(body), len(content)
            )
            if response.status == HTTPStatus.TOO_MANY_REQUESTS:
                raise WeightStoreBusy(_parse_retry_after(response))
            if response.status != HTTPStatus.OK:
                raise WeightStoreUnavailable(
                    f'refused with status {response.status}'
                )
            return msgspec.json.decode(content, type=TicketBody).ticket


def _parse_retry_after(response: ClientResponse) -> timedelta:
    retry_after = response.headers.get(hdrs.RETRY_AFTER, '')
    if retry_after.isdecimal():
        return timedelta(seconds=int(retry_after))
    return DEFAULT_RETRY_AFTER
