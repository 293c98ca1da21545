"""
tests.standins.base
~~~~~~~~~~~~~~~~~~~

The server and the fault table that all stand-ins share.

``POST /faults {"fault": NAME, "path": PART, "count": N, ...}`` sets a fault
for requests whose method and path contain PART, for the next N of them or
until ``DELETE /faults``. ``GET /ran`` returns the run record: what the stand-in
executed, which tests compare with the answers.

Faults of all stand-ins: ``freeze`` holds requests until it is cleared, ``late``
delays them by ``seconds``, ``cut`` closes the connection before the request is
handled, ``lost`` after it, ``refuse`` answers 503.
"""

__all__ = (
    'Fault',
    'FaultTable',
    'StandIn',
    'create_parser',
    'drop_connection',
    'json_body',
    'refusal',
    'serve',
)

import argparse
import asyncio
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

CONTROL_PATHS = ('/faults', '/ran')
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@dataclass(slots=True)
class Fault:
    """One fault that is set.

    :ivar path: part of ``METHOD PATH`` that a request must contain
    :ivar remaining_count: how many more requests it applies to
    """

    name: str
    path: str = ''
    remaining_count: float = math.inf
    options: dict[str, Any] = field(default_factory=dict)

    def number(self, option: str, default: float) -> float:
        """Return an option as a number."""
        return float(self.options.get(option, default))


class FaultTable:
    """The faults that are set, by name.

    :ivar applied_counts: how often each fault was applied
    """

    def __init__(self) -> None:
        self._faults: dict[str, Fault] = {}
        self._changed = asyncio.Event()
        self.applied_counts: dict[str, int] = {}

    def set(self, name: str, **options: Any) -> None:
        """Set or replace a fault."""
        path = str(options.pop('path', ''))
        count = float(options.pop('count', math.inf))
        self._faults[name] = Fault(name, path, count, options)
        self._notify()

    def clear(self) -> None:
        """Remove all faults."""
        self._faults.clear()
        self.applied_counts.clear()
        self._notify()

    async def wait_for_change(self) -> None:
        """Wait until a fault is set or cleared."""
        await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def find(self, name: str, path: str = '') -> Fault | None:
        """Return the fault if it is set and applies to the path."""
        fault = self._faults.get(name)
        if fault is None or fault.path not in path:
            return None
        return fault if fault.remaining_count > 0 else None

    def use(self, name: str, path: str = '') -> Fault | None:
        """Return the fault as :meth:`find` does, and decrement its count."""
        fault = self.find(name, path)
        if fault is not None:
            fault.remaining_count -= 1
            self.applied_counts[name] = self.applied_counts.get(name, 0) + 1
        return fault


class StandIn:
    """Base of the stand-ins: override :meth:`routes` and :meth:`run_record`."""

    def __init__(self) -> None:
        self.faults = FaultTable()

    def routes(self) -> list[web.RouteDef]:
        """Return the HTTP routes of the stand-in."""
        raise NotImplementedError

    def run_record(self) -> dict[str, Any]:
        """Return what the stand-in executed."""
        raise NotImplementedError

    def on_fault(self, fault: dict[str, Any]) -> None:
        """Apply a fault when it is set; does nothing by default."""

    def create_app(self) -> web.Application:
        """Create the HTTP application."""
        app = web.Application(
            middlewares=[self._apply_faults], client_max_size=64 << 20
        )
        app.add_routes(
            [
                web.post('/faults', self._set_fault),
                web.delete('/faults', self._clear_faults),
                web.get('/ran', self._get_run_record),
                *self.routes(),
            ]
        )
        return app

    async def _set_fault(self, request: web.Request) -> web.Response:
        fault = await json_body(request)
        options = {k: v for k, v in fault.items() if k != 'fault'}
        self.faults.set(fault['fault'], **options)
        self.on_fault(fault)
        return web.json_response({})

    async def _clear_faults(self, _: web.Request) -> web.Response:
        self.faults.clear()
        return web.json_response({})

    async def _get_run_record(self, _: web.Request) -> web.Response:
        return web.json_response(
            {**self.run_record(), 'faults': dict(self.faults.applied_counts)}
        )

    @web.middleware
    async def _apply_faults(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if request.path in CONTROL_PATHS:
            return await handler(request)
        path = f'{request.method} {request.path}'
        while self.faults.find('freeze', path):
            await self.faults.wait_for_change()
        if delay := self.faults.use('late', path):
            await asyncio.sleep(delay.number('seconds', 1))
        if self.faults.use('cut', path):
            drop_connection(request)
            return refusal()
        if self.faults.use('refuse', path):
            return refusal()
        response = await handler(request)
        if self.faults.use('lost', path):
            drop_connection(request)
        return response


def drop_connection(request: web.Request) -> None:
    """Abort the connection of a request without an answer."""
    if request.transport is not None:
        request.transport.abort()


def refusal(status: int = 503, seconds: float = 1) -> web.Response:
    """Return an error answer with a Retry-After header."""
    headers = {'Retry-After': str(math.ceil(seconds))}
    return web.json_response({}, status=status, headers=headers)


async def json_body(request: web.Request) -> dict[str, Any]:
    """Return the JSON object in a request's body."""
    content: dict[str, Any] = await request.json()
    return content


def create_parser() -> argparse.ArgumentParser:
    """Create a parser with the options that all stand-ins have."""
    options = argparse.ArgumentParser()
    options.add_argument('--address', required=True, help='ip:port')
    return options


def serve(stand_in: StandIn, address: str) -> None:
    """Serve until the process receives a termination signal."""
    host, port = address.rsplit(':', 1)
    web.run_app(
        stand_in.create_app(),
        host=host,
        port=int(port),
        print=None,
        access_log=None,
        shutdown_timeout=0.1,
    )
