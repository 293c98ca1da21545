"""
tests.standins.vms
~~~~~~~~~~~~~~~~~~

The platform's VM list. ``PUT /v1/vms`` replaces it; readers see the change
after ``--lag`` seconds.
"""

__all__ = ('VmsStandIn',)

import asyncio
from typing import Any

from aiohttp import web

from .base import StandIn, create_parser, json_body, serve


class VmsStandIn(StandIn):
    """Holds the VM list in memory.

    :param lag_s: time until readers see a change
    """

    def __init__(self, lag_s: float = 0) -> None:
        super().__init__()
        self._lag_s = lag_s
        self._version = 0
        self._vms: list[dict[str, Any]] = []
        self._reads = 0

    def routes(self) -> list[web.RouteDef]:
        return [web.get('/v1/vms', self._read), web.put('/v1/vms', self._set)]

    def run_record(self) -> dict[str, Any]:
        return {'version': self._version, 'reads': self._reads}

    async def _set(self, request: web.Request) -> web.Response:
        content = await json_body(request)
        if self._lag_s:
            loop = asyncio.get_running_loop()
            loop.call_later(self._lag_s, self._show, content['vms'])
        else:
            self._show(content['vms'])
        return web.json_response({})

    def _show(self, vms: list[dict[str, Any]]) -> None:
        self._vms = vms
        self._version += 1

    async def _read(self, request: web.Request) -> web.Response:
        self._reads += 1
        headers = {'ETag': f'"{self._version}"'}
        if request.headers.get('If-None-Match') == headers['ETag']:
            return web.Response(status=304, headers=headers)
        return web.json_response({'vms': self._vms}, headers=headers)


def main() -> None:
    """Run the stand-in as a process."""
    parser = create_parser()
    parser.add_argument('--lag', type=float, default=0)
    arguments = parser.parse_args()
    serve(VmsStandIn(arguments.lag), arguments.address)


if __name__ == '__main__':
    main()
