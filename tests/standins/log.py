"""
tests.standins.log
~~~~~~~~~~~~~~~~~~

The platform's append-only log. Fault besides those of all stand-ins: ``gap``
``{"stream", "before"}`` drops the records before an offset.
"""

__all__ = ('LogStandIn',)

import asyncio
import base64
import contextlib
import time
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from .base import StandIn, create_parser, refusal, serve


@dataclass(slots=True)
class Stream:
    """The retained records of a stream, from offset ``first`` on."""

    first: int = 0
    records: list[tuple[float, bytes]] = field(default_factory=list)
    appended: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def next(self) -> int:
        """Return the offset of the next record."""
        return self.first + len(self.records)

    def append(self, payload: bytes) -> int:
        """Append a record, wake the waiting readers and return its offset."""
        self.records.append((time.time(), payload))
        self.appended.set()
        self.appended = asyncio.Event()
        return self.next - 1

    def trim(self, before: int) -> None:
        """Drop the records before an offset."""
        dropped = min(max(before - self.first, 0), len(self.records))
        del self.records[:dropped]
        self.first += dropped


class LogStandIn(StandIn):
    """Holds streams of records in memory.

    :param max_records: retained records of each stream; 0 for all
    :param max_age_s: retention of a record in seconds; 0 for no limit
    """

    def __init__(self, max_records: int = 0, max_age_s: float = 0) -> None:
        super().__init__()
        self._streams: dict[str, Stream] = {}
        self._max_records = max_records
        self._max_age_s = max_age_s

    def routes(self) -> list[web.RouteDef]:
        path = '/v1/streams/{stream}/records'
        return [web.post(path, self._append), web.get(path, self._read)]

    def run_record(self) -> dict[str, Any]:
        return {
            'streams': {
                name: {'first': stream.first, 'next': stream.next}
                for name, stream in self._streams.items()
            }
        }

    def on_fault(self, fault: dict[str, Any]) -> None:
        if fault['fault'] == 'gap':
            self._stream(fault['stream']).trim(int(fault['before']))

    def _stream(self, name: str) -> Stream:
        stream = self._streams.setdefault(name, Stream())
        if self._max_records:
            stream.trim(stream.next - self._max_records)
        oldest = time.time() - self._max_age_s
        while (
            self._max_age_s and stream.records and stream.records[0][0] < oldest
        ):
            stream.trim(stream.first + 1)
        return stream

    async def _append(self, request: web.Request) -> web.Response:
        payload = await request.read()
        offset = self._stream(request.match_info['stream']).append(payload)
        return web.json_response({'offset': offset}, status=201)

    async def _read(self, request: web.Request) -> web.Response:
        start = int(request.query.get('from', 0))
        limit = int(request.query.get('limit', 500))
        wait = float(request.query.get('wait', 0))
        stream = self._stream(request.match_info['stream'])
        if wait > 0 and start >= stream.next:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stream.appended.wait(), wait)
        if self.faults.find('refuse', f'GET {request.path}'):
            return refusal()
        stream = self._stream(request.match_info['stream'])
        start = max(start, stream.first)
        skipped = start - stream.first
        records = stream.records[skipped : skipped + limit]
        return web.json_response(
            {
                'first': stream.first,
                'next': stream.next,
                'records': [
                    {
                        'offset': start + index,
                        'time': append_time,
                        'payload': base64.b64encode(payload).decode(),
                    }
                    for index, (append_time, payload) in enumerate(records)
                ],
            }
        )


def main() -> None:
    """Run the stand-in as a process."""
    parser = create_parser()
    parser.add_argument('--keep', type=int, default=0)
    parser.add_argument('--age', type=float, default=0)
    arguments = parser.parse_args()
    serve(LogStandIn(arguments.keep, arguments.age), arguments.address)


if __name__ == '__main__':
    main()
