"""
bergamotshed.platform.store
~~~~~~~~~~~~~~~~~~~~~~~~~~~

HTTP client of the platform's store.
"""

__all__ = ('PlatformStore', 'decode_page', 'decode_records')

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout

from ..decoding import DECODE_ERRORS
from ..http_bodies import read_body
from ..store.changes import changes_since
from ..store.eras import EraReader
from ..store.types import (
    Changes,
    Entry,
    KeyedStore,
    Listing,
    Position,
    StoreHistoryGone,
    StoreUnavailable,
    Topic,
)
from . import names

#: How long an answer may take beyond the requested wait; usual answers take a
#: few milliseconds, slow ones some hundred.
ANSWER_TIMEOUT = timedelta(milliseconds=800)
CONNECT_TIMEOUT_S = 0.5
PARTITION = '0'

_LENGTH = struct.Struct('>I')
_OFFSETS = struct.Struct('>QQ')


class NewestEntry(msgspec.Struct):
    """The newest record of a key."""

    key: str
    value: bytes
    offset: int = 0


class NewestBody(msgspec.Struct):
    """One page of the newest records of a topic.

    :ivar end: the offset after the partition's newest record
    :ivar has_more: further pages follow
    """

    entries: list[NewestEntry]
    end: int
    has_more: bool = False


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """A successful answer.

    :ivar era: number of the store's history; ``None`` if not stated
    """

    body: bytes
    era: int | None


class PlatformStore(KeyedStore):
    """Calls the store over HTTP.

    :param address: ``ip:port`` of the store
    :ivar calls: number of calls so far
    """

    def __init__(self, address: str, session: ClientSession) -> None:
        self._base = f'http://{address}'
        self._session = session
        self._eras = EraReader()
        self.calls = 0

    async def newest(self, topic: Topic) -> Listing:
        """List the newest record of each key, page by page."""
        entries: list[Entry] = []
        query = {'topic': names.TOPICS[topic], 'part': PARTITION}
        end: Position | None = None
        while True:
            answer = await self._call('GET', '/log-newest', query, timedelta(0))
            page = decode_page(answer.body)
            entries.extend(
                Entry(entry.key, entry.value) for entry in page.entries
            )
            # Later pages may hold newer records; changes after the first page
            # are read again, so no change is missed.
            end = Position(answer.era, page.end) if end is None else end
            if answer.era != end.era:
                raise StoreUnavailable('the era changed during the listing')
            if not page.has_more:
                return Listing(tuple(entries), end)
            if not page.entries:
                raise StoreUnavailable('a page is empty, but not the last one')
            query = {**query, 'after': page.entries[-1].key}

    async def read(
        self, topic: Topic, start: Position, wait: timedelta
    ) -> Changes:
        """Read the records from a position on."""
        query = {
            'topic': names.TOPICS[topic],
            'part': PARTITION,
            'from': str(start.offset),
            'wait_ms': str(wait // timedelta(milliseconds=1)),
        }
        answer = await self._call('GET', '/log-read', query, wait)
        if answer.era != start.era:
            raise StoreHistoryGone(
                f'/log-read: the era is {answer.era}, not {start.era}',
                answer.era,
            )
        return decode_records(answer.body, start)

    async def put(self, topic: Topic, key: str, value: bytes) -> None:
        """Append one keyed record."""
        encoded = key.encode()
        record = bytes((len(encoded),)) + encoded + value
        await self._call(
            'POST',
            '/log-append',
            {'topic': names.TOPICS[topic], 'part': PARTITION},
            timedelta(0),
            _LENGTH.pack(len(record)) + record,
        )

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        wait: timedelta,
        payload: bytes | None = None,
    ) -> StoreAnswer:
        self.calls += 1
        try:
            status, answer = await self._exchange(
                method, path, query, wait, payload
            )
        except (ClientError, OSError) as error:
            raise StoreUnavailable(f'{path}: {type(error).__name__}') from error
        if status == names.HTTP_GONE:
            raise StoreHistoryGone(f'{path}: the records are not retained')
        if status != HTTPStatus.OK:
            raise StoreUnavailable(f'{path}: status {status}')
        return answer

    async def _exchange(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        wait: timedelta,
        payload: bytes | None,
    ) -> tuple[int, StoreAnswer]:
        timeout = ClientTimeout(
            total=(wait + ANSWER_TIMEOUT).total_seconds(),
            sock_connect=CONNECT_TIMEOUT_S,
        )
        async with self._session.request(
            method,
            f'{self._base}{path}',
            params=query,
            data=payload,
            timeout=timeout,
            allow_redirects=False,
        ) as response:
            body = await read_body(response)
            era = None
            if response.status == HTTPStatus.OK:
                era = self._eras.read(response.headers.get(names.ERA))
            return response.status, StoreAnswer(body, era)


def decode_page(body: bytes) -> NewestBody:
    try:
        return msgspec.json.decode(body, type=NewestBody)
    except DECODE_ERRORS as error:
        raise StoreUnavailable(f'malformed listing: {error}') from error


def decode_records(body: bytes, start: Position) -> Changes:
    """Decode the answer to a read from a position on."""
    if len(body) < _OFFSETS.size:
        raise StoreUnavailable('the offsets are truncated')
    entries = tuple(map(_decode_record, _split_records(body)))
    return changes_since(start, entries, *_OFFSETS.unpack_from(body))


def _split_records(body: bytes) -> Iterator[bytes]:
    position = _OFFSETS.size
    while position < len(body):
        start = position + _LENGTH.size
        position = start + int.from_bytes(body[position:start], 'big')
        if position > len(body):
            raise StoreUnavailable('the last record is truncated')
        yield body[start:position]


def _decode_record(record: bytes) -> Entry:
    if not record:
        return Entry('', b'')
    start = 1 + record[0]
    key = record[1:start].decode('utf-8', 'replace')
    return Entry(key, record[start:])
