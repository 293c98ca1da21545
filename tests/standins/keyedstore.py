"""
tests.standins.keyedstore
~~~~~~~~~~~~~~~~~~~~~~~~~

The platform's keyed store, held in memory, with faults.
"""

__all__ = ('KeyedStoreStandIn',)

import asyncio
import struct
from base64 import b64encode
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
from aiohttp import web
from aiohttp.web_request import BaseRequest

PAGE_ENTRIES = 3
OFFSETS_BYTES = 16
ANSWER_BYTES = 1_048_576


class KeyedStoreStandIn:
    """Serves topics of keyed records.

    :ivar error_status: HTTP status of every answer; 0 for normal answers
    :ivar is_silent: whether calls stay without an answer
    :ivar ignores_new_records: whether long polls wait out their time although
        there are new records
    :ivar answer_delay_s: delay of each answer
    :ivar answer_bytes: largest answer to a read of more than one record
    :ivar called_paths: the path of each call, in order
    :ivar first_offsets: first offset that can still be read, by topic
    :ivar era: number of its history, in the headers of its answers; ``None``
        for a store that does not state it
    :ivar era_header: text of that header if it is to be wrong
    """

    def __init__(self) -> None:
        self.address = ''
        self.error_status = 0
        self.is_silent = False
        self.ignores_new_records = False
        self.answer_delay_s = 0.0
        self.answer_bytes = ANSWER_BYTES
        self.called_paths: list[str] = []
        self.records: dict[str, list[tuple[str, bytes]]] = {}
        self.first_offsets: dict[str, int] = {}
        self.era: int | None = None
        self.era_header: str | None = None
        self._changed = asyncio.Event()
        self._drop_count = 0
        self._returns = 0

    @asynccontextmanager
    async def serving(self) -> AsyncIterator['KeyedStoreStandIn']:
        """Listen on a free loopback port until the context ends."""
        server = web.Server(self._handle)
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(server, '127.0.0.1', 0)
        self.address = f'127.0.0.1:{listener.sockets[0].getsockname()[1]}'
        try:
            yield self
        finally:
            listener.close()
            await server.shutdown(0.1)

    def put(self, topic: str, key: str, value: object) -> None:
        """Append a record; a value that is not bytes is encoded as JSON."""
        encoded = (
            value if isinstance(value, bytes) else msgspec.json.encode(value)
        )
        self.records.setdefault(topic, []).append((key, encoded))
        self._notify()

    def drop_waiting_answers(self) -> None:
        """Leave the long polls that wait now without an answer."""
        self._drop_count += 1

    def drop_history(self, topic: str) -> None:
        """Drop the history of a topic but for the newest record of each key."""
        self.first_offsets[topic] = len(self.records.get(topic, []))

    def copy(self) -> dict[str, int]:
        """Return a copy to come back from: the number of records by topic."""
        return {topic: len(held) for topic, held in self.records.items()}

    def return_from(self, copy: dict[str, int]) -> None:
        """Lose all records since a copy and begin a new era.

        Calls that wait are cut, as the store was away for a moment.
        """
        self.records = {
            topic: held[: copy.get(topic, 0)]
            for topic, held in self.records.items()
        }
        self.era = (self.era or 0) + 1
        self._returns += 1
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: BaseRequest) -> web.Response:
        self.called_paths.append(request.path)
        if self.is_silent:
            await asyncio.sleep(3600)
        await asyncio.sleep(self.answer_delay_s)
        if self.error_status:
            return web.Response(status=self.error_status)
        returns = self._returns
        response = await self._answer(request)
        if returns != self._returns and request.transport is not None:
            request.transport.abort()
        if self.era is not None:
            response.headers['Store-Era'] = self.era_header or str(self.era)
        return response

    async def _answer(self, request: BaseRequest) -> web.Response:
        if request.path == '/log-newest':
            return self._newest(request)
        if request.path == '/log-append':
            return await self._append(request)
        return await self._read(request)

    def _newest(self, request: BaseRequest) -> web.Response:
        records = self.records.get(request.query['topic'], [])
        newest = dict(records)
        after = request.query.get('after', '')
        keys = sorted(
            key for key, value in newest.items() if value and key > after
        )
        body = {
            'entries': [
                {
                    'key': key,
                    'value': b64encode(newest[key]).decode(),
                    'offset': 0,
                }
                for key in keys[:PAGE_ENTRIES]
            ],
            'has_more': len(keys) > PAGE_ENTRIES,
            'end': len(records),
        }
        return web.json_response(body)

    async def _read(self, request: BaseRequest) -> web.Response:
        topic = request.query['topic']
        start = int(request.query['from'])
        wait = int(request.query.get('wait_ms', 0)) / 1000
        is_beyond_end = start > len(self.records.get(topic, []))
        if is_beyond_end or start < self.first_offsets.get(topic, 0):
            return web.json_response({}, status=410)
        drop_count = self._drop_count
        returns = self._returns
        deadline = asyncio.get_running_loop().time() + wait
        while returns == self._returns and (
            self.ignores_new_records
            or len(self.records.get(topic, [])) <= start
        ):
            remaining = deadline - asyncio.get_running_loop().time()
            if remaining <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), remaining)
            except TimeoutError:
                break
        if drop_count != self._drop_count:
            await asyncio.sleep(3600)
        records = self.records.get(topic, [])
        body = struct.pack(
            '>QQ', len(records), self.first_offsets.get(topic, 0)
        )
        for key, value in records[start:]:
            record = bytes((len(key),)) + key.encode() + value
            is_full = len(body) + len(record) > self.answer_bytes
            if is_full and len(body) > OFFSETS_BYTES:
                break
            body += struct.pack('>I', len(record)) + record
        return web.Response(body=body)

    async def _append(self, request: BaseRequest) -> web.Response:
        body = await request.read()
        topic = request.query['topic']
        offset = len(self.records.get(topic, []))
        while body:
            (size,) = struct.unpack_from('>I', body)
            record, body = body[4 : 4 + size], body[4 + size :]
            length = record[0]
            self.put(
                topic, record[1 : 1 + length].decode(), record[1 + length :]
            )
        return web.json_response({'offset': offset, 'end': offset + 1})
