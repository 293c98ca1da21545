"""
bergamotshed.log.client
~~~~~~~~~~~~~~~~~~~~~~~

HTTP client of the log service. An append whose outcome is unknown raises
:class:`LogAnswerLost`; :class:`LogUnavailable` is raised only when the record
was certainly not written.
"""

__all__ = ('HttpLog', 'open_log')

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import UTC, datetime, timedelta
from http import HTTPStatus

import msgspec
from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    InvalidURL,
)

from ..clock import Clock, SystemClock
from ..decoding import DECODE_ERRORS
from ..http_bodies import read_body
from ..http_traffic import CountTraffic, count_exchange, ignore_traffic
from .types import Log, LogAnswerLost, LogPage, LogUnavailable, Record

_CALL_ERRORS = (ClientError, OSError, *DECODE_ERRORS)

PEER = 'log'
CONNECT_TIMEOUT_S = 1.0
#: Longest page of records.
MAX_PAGE_BYTES = 67_108_864
ANSWER_TIMEOUT = timedelta(seconds=3)
NOT_WRITTEN_STATUSES = frozenset(
    (
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.NOT_FOUND,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


class AppendedBody(msgspec.Struct):
    """JSON body of the answer to an append."""

    offset: int


class RecordBody(msgspec.Struct):
    """JSON form of one record; the payload is base64."""

    offset: int
    time: float
    payload: bytes


class PageBody(msgspec.Struct):
    """JSON body of the answer to a read."""

    first: int
    next: int
    records: list[RecordBody]


class HttpLog(Log):
    """Appends and reads records over one HTTP session.

    :param base_url: URL of the log service
    :param traffic: counts the bytes of each exchange
    :param timeout: longest wait for an answer, apart from the time that a
        read may wait for a record
    """

    def __init__(
        self,
        base_url: str,
        clock: Clock,
        session: ClientSession,
        traffic: CountTraffic | None = None,
        timeout: timedelta = ANSWER_TIMEOUT,
    ) -> None:
        self._base_url = base_url.rstrip('/')
        self._clock = clock
        self._session = session
        self._traffic = traffic or ignore_traffic
        self._timeout = timeout
        self._answered_at: float | None = None

    @property
    def time_since_answer(self) -> timedelta | None:
        """Return the time since the log last answered; ``None`` if never."""
        if self._answered_at is None:
            return None
        elapsed = self._clock.monotonic() - self._answered_at
        return timedelta(seconds=elapsed)

    async def append(self, stream: str, payload: bytes) -> int:
        """Append one record and return its offset.

        :raises LogUnavailable: nothing was appended
        :raises LogAnswerLost: the record may have been appended
        """
        try:
            return await self._append(stream, payload)
        except (ClientConnectorError, ConnectionTimeoutError) as error:
            raise LogUnavailable(f'connection failed: {error}') from error
        except InvalidURL as error:
            raise LogUnavailable(f'invalid URL: {error}') from error
        except _CALL_ERRORS as error:
            raise LogAnswerLost(f'no complete answer: {error!r}') from error

    async def read(
        self,
        stream: str,
        start: int,
        *,
        limit: int = 500,
        wait: timedelta = timedelta(0),
    ) -> LogPage:
        """Read records from an offset on.

        :param wait: how long the log may wait for a record before it answers
            (long polling)
        :raises LogUnavailable: the log can't be read now
        """
        try:
            body = await self._read(stream, start, limit, wait)
        except _CALL_ERRORS as error:
            raise LogUnavailable(f'read failed: {error!r}') from error
        records = tuple(_to_record(record) for record in body.records)
        return LogPage(body.first, body.next, records)

    async def _append(self, stream: str, payload: bytes) -> int:
        async with self._session.post(
            self._url(stream),
            data=payload,
            timeout=self._client_timeout(timedelta(0)),
            allow_redirects=False,
        ) as response:
            content = await self._read_content(response, len(payload))
            if response.status in NOT_WRITTEN_STATUSES:
                raise LogUnavailable(f'refused with status {response.status}')
            if response.status != HTTPStatus.CREATED:
                raise LogAnswerLost(f'unexpected status {response.status}')
            return msgspec.json.decode(content, type=AppendedBody).offset

    async def _read(
        self, stream: str, start: int, limit: int, wait: timedelta
    ) -> PageBody:
        query = {'from': start, 'limit': limit, 'wait': wait.total_seconds()}
        async with self._session.get(
            self._url(stream),
            params=query,
            timeout=self._client_timeout(wait),
            allow_redirects=False,
        ) as response:
            content = await self._read_content(response, 0)
            if response.status != HTTPStatus.OK:
                raise LogUnavailable(f'refused with status {response.status}')
            return msgspec.json.decode(content, type=PageBody)

    async def _read_content(self, response: ClientResponse, sent: int) -> bytes:
        content = await read_body(response, MAX_PAGE_BYTES)
        self._answered_at = self._clock.monotonic()
        count_exchange(self._traffic, PEER, response, sent, len(content))
        return content

    def _url(self, stream: str) -> str:
        return f'{self._base_url}/v1/streams/{stream}/records'

    def _client_timeout(self, wait: timedelta) -> ClientTimeout:
        return ClientTimeout(
            total=(wait + self._timeout).total_seconds(),
            sock_connect=CONNECT_TIMEOUT_S,
        )


def _to_record(body: RecordBody) -> Record:
    time = datetime.fromtimestamp(body.time, UTC)
    return Record(body.offset, time, body.payload)


@asynccontextmanager
async def open_log(address: str) -> AsyncIterator[HttpLog]:
    """Yield a client with its own session, which is closed on exit."""
    async with ClientSession() as session:
        yield HttpLog(address, SystemClock(), session)
