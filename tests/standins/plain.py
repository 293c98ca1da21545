"""
tests.standins.plain
~~~~~~~~~~~~~~~~~~~~

A plain service, whose calls must not be repeated. A call whose body has
``"seconds": N`` is answered after N seconds.
"""

__all__ = ('PlainStandIn',)

import asyncio
import time
from typing import Any

from aiohttp import web

from .base import StandIn, create_parser, serve


class PlainStandIn(StandIn):
    """Executes and records each call, also one that repeats an idempotency
    key, so that tests can count duplicates.

    :param name: the VM's name
    """

    def __init__(self, name: str = 'plain') -> None:
        super().__init__()
        self._name = name
        self._runs: list[dict[str, Any]] = []
        self._in_flight = 0
        self._max_in_flight = 0

    def routes(self) -> list[web.RouteDef]:
        return [web.post('/calls/{call}', self._call)]

    def run_record(self) -> dict[str, Any]:
        return {
            'runs': self._runs,
            'in_flight': self._in_flight,
            'max_in_flight': self._max_in_flight,
        }

    async def _call(self, request: web.Request) -> web.Response:
        body = await request.text()
        content = await request.json() if body else {}
        run = {
            'call': request.match_info['call'],
            'key': request.headers.get('Idempotency-Key', ''),
            'organisation': request.headers.get('X-Organisation', ''),
            'body': content,
            'time': time.time(),
        }
        self._runs.append(run)
        self._in_flight += 1
        self._max_in_flight = max(self._max_in_flight, self._in_flight)
        try:
            await asyncio.sleep(float(content.get('seconds', 0)))
        finally:
            self._in_flight -= 1
        return web.json_response(
            {'name': self._name, 'run': len(self._runs), 'echo': content}
        )


def main() -> None:
    """Run the stand-in as a process."""
    parser = create_parser()
    parser.add_argument('--name', default='plain')
    parser.add_argument('--service', default='')
    arguments = parser.parse_args()
    serve(PlainStandIn(arguments.name), arguments.address)


if __name__ == '__main__':
    main()
