"""
bergamotshed.weights.client
~~~~~~~~~~~~~~~~~~~~~~~~~~~

The weight store over HTTP.
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

from ..http_traffic import CountTraffic, count_exchange, ignore_traffic
from .types import (
    WeightsRequest,
    WeightStore,
    WeightStoreBusy,
    WeightStoreUnavailable,
)

PEER = 'weights'
TIMEOUT = ClientTimeout(total=3, sock_connect=1)
DEFAULT_RETRY_AFTER = timedelta(seconds=1)


class FetchBody(msgspec.Struct):
    """The request on the wire."""

    model: str
    version: str
    engine: str


class TicketBody(msgspec.Struct):
    """The answer on the wire."""

    ticket: str


class HttpWeightStore(WeightStore):
    """Asks for tickets over one HTTP session.

    :param base_url: the store's address as a URL
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

        :raises WeightStoreBusy: the rate is used up
        :raises WeightStoreUnavailable: refused or not reached
        """
        body = FetchBody(request.model, request.version, request.engine)
        try:
            return await self._fetch(msgspec.json.encode(body))
        except (ClientError, OSError, msgspec.MsgspecError) as error:
            raise WeightStoreUnavailable(f'no ticket: {error!r}') from error

    async def _fetch(self, body: bytes) -> str:
        async with self._session.post(
            self._url, data=body, timeout=TIMEOUT, allow_redirects=False
        ) as response:
            content = await response.read()
            count_exchange(
                self._traffic, PEER, response, len(body), len(content)
            )
            if response.status == HTTPStatus.TOO_MANY_REQUESTS:
                raise WeightStoreBusy(_retry_after(response))
            if response.status != HTTPStatus.OK:
                raise WeightStoreUnavailable(f'refused: {response.status}')
            return msgspec.json.decode(content, type=TicketBody).ticket


def _retry_after(response: ClientResponse) -> timedelta:
    advice = response.headers.get(hdrs.RETRY_AFTER, '')
    if advice.isdecimal():
        return timedelta(seconds=int(advice))
    return DEFAULT_RETRY_AFTER
