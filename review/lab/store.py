"""The platform's store: keyed topics of one partition, as PROTOCOL.md says."""

import asyncio
import base64
import json
import struct
import time

from aiohttp import web

PAGE_ENTRIES = 500
READ_BYTES = 1_048_576


class Store:
    """Serves /log-newest, /log-read and /log-append on a loopback address."""

    def __init__(self) -> None:
        self.address = ''
        self.records: dict[str, list[tuple[str, bytes]]] = {}
        self._changed = asyncio.Event()
        self._server = web.Server(self._handle, access_log=None)
        self._listener: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._server, host, 0)
        port = self._listener.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'

    async def stop(self) -> None:
        if self._listener is not None:
            self._listener.close()
        await self._server.shutdown(0.1)

    def put(self, topic: str, key: str, value: object) -> float:
        """Append a record; return the time of the acknowledgement."""
        encoded = b''
        if value is not None:
            encoded = (
                value
                if isinstance(value, bytes)
                else json.dumps(value).encode()
            )
        self.records.setdefault(topic, []).append((key, encoded))
        self._changed.set()
        self._changed = asyncio.Event()
        return time.monotonic()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        await asyncio.sleep(0.002)
        topic = request.query['topic']
        if request.path == '/log-newest':
            answer = self._newest(topic, request.query.get('after', ''))
        elif request.path == '/log-read':
            answer = await self._read(request, topic)
        else:
            answer = await self._append(request, topic)
        answer.headers['Store-Era'] = '1'
        return answer

    def _newest(self, topic: str, after: str) -> web.Response:
        held = self.records.get(topic, [])
        newest = {key: (value, at) for at, (key, value) in enumerate(held)}
        keys = sorted(k for k, (value, _) in newest.items() if value)
        keys = [key for key in keys if key > after]
        body = {
            'entries': [
                {
                    'key': key,
                    'value': base64.b64encode(newest[key][0]).decode(),
                    'offset': newest[key][1],
                }
                for key in keys[:PAGE_ENTRIES]
            ],
            'has_more': len(keys) > PAGE_ENTRIES,
            'end': len(held),
        }
        return web.json_response(body)

    async def _read(self, request: web.BaseRequest, topic: str) -> web.Response:
        start = int(request.query['from'])
        end_at = time.monotonic()
        end_at += int(request.query.get('wait_ms', 0)) / 1000
        if start > len(self.records.get(topic, [])):
            return web.json_response({'first_offset': 0}, status=410)
        while len(self.records.get(topic, [])) <= start:
            left = end_at - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                break
        held = self.records.get(topic, [])
        body = bytearray(struct.pack('>QQ', len(held), 0))
        for key, value in held[start:]:
            record = bytes((len(key.encode()),)) + key.encode() + value
            if len(body) > 16 and len(body) + len(record) > READ_BYTES:
                break
            body += struct.pack('>I', len(record)) + record
        return web.Response(body=bytes(body))

    async def _append(
        self, request: web.BaseRequest, topic: str
    ) -> web.Response:
        body = await request.read()
        first = len(self.records.get(topic, []))
        while body:
            (size,) = struct.unpack_from('>I', body)
            record, body = body[4 : 4 + size], body[4 + size :]
            length = record[0]
            key = record[1 : 1 + length].decode()
            self.put(topic, key, record[1 + length :] or None)
        end = len(self.records.get(topic, []))
        return web.json_response({'offset': first, 'end': end})
