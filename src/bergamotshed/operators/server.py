"""
bergamotshed.operators.server
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The operators' HTTP server of a process: health, state dump, explanations of
requests and engines, and metrics.
"""

__all__ = ('HealthReport', 'OperatorsServer', 'Provider')

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import cast

import msgspec
from aiohttp import web

from ..intake.connection import guard
from ..intake.intake import Intake
from ..process.journal import Journal, JournalEntry
from ..sockets import listen
from .errors import ExplainError

EXPOSITION_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
SHUTDOWN_TIMEOUT_S = 1
EXPLAIN_PARAMETERS = frozenset(('request', 'engine'))

Provider = Callable[[], object]


@dataclass(frozen=True, slots=True)
class HealthReport:
    """The health of a process.

    :ivar ready: whether it accepts callers' requests
    :ivar phase: phase of the drain
    :ivar configuration: version in force; -1 for none
    :ivar reason: why it is not ready; empty if it is
    """

    name: str
    ready: bool
    phase: str
    configuration: int
    reason: str = ''


@dataclass(frozen=True, slots=True)
class Explanation:
    """What one router knows about a request or an engine.

    :ivar events: log messages about it, the oldest first
    :ivar decisions: placement decisions on the request, with their reasons
    """

    events: tuple[JournalEntry, ...]
    decisions: object = ()


class OperatorsServer:
    """Serves operators over HTTP.

    :param health: returns the current health
    :param exposition: returns the metrics in the Prometheus text format
    :param decisions: returns the placement decisions on a request
    """

    def __init__(
        self,
        host: str,
        port: int,
        health: Callable[[], HealthReport],
        journal: Journal,
        intake: Intake,
        exposition: Callable[[], bytes] | None = None,
        decisions: Callable[[str], object] | None = None,
    ) -> None:
        self._host = host
        self._port = port
        self._health = health
        self._journal = journal
        self._intake = intake
        self._exposition = exposition
        self._decisions = decisions
        self._providers: dict[str, Provider] = {}
        self._runner: web.AppRunner | None = None
        self._listener: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """Return the port, even if the operating system chose it."""
        if self._listener is None or not self._listener.sockets:
            return self._port
        return int(self._listener.sockets[0].getsockname()[1])

    def register(self, name: str, provider: Provider) -> None:
        """Add a section to the state dump.

        :param provider: returns the state, as data classes, structs or plain
            containers
        """
        self._providers[name] = provider

    async def start(self) -> None:
        """Start listening.

        :raises OSError: the address is in use
        """
        app = web.Application()
        app.router.add_get('/health', self._get_health)
        app.router.add_get('/state', self._get_state)
        app.router.add_get('/explain', self._get_explain)
        app.router.add_get('/metrics', self._get_metrics)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await self._runner.setup()
        self._listener = await asyncio.get_running_loop().create_server(
            guard(
                cast(web.Server, self._runner.server),
                self._intake,
                auto_decompress=False,
            ),
            sock=listen(f'{self._host}:{self._port}'),
        )

    async def stop(self) -> None:
        """Stop listening."""
        if self._listener is not None:
            self._listener.close()
        if self._runner is not None:
            await self._runner.cleanup()

    def dump(self) -> dict[str, object]:
        """Return the state dump, by name of its sections."""
        return {
            name: _provider_state(provider)
            for name, provider in sorted(self._providers.items())
        }

    async def _get_health(self, _request: web.Request) -> web.Response:
        report = self._health()
        status = HTTPStatus.OK
        if not report.ready:
            status = HTTPStatus.SERVICE_UNAVAILABLE
        return _json_response(report, status)

    async def _get_state(self, _request: web.Request) -> web.Response:
        return _json_response(self.dump())

    async def _get_explain(self, request: web.Request) -> web.Response:
        try:
            explanation = self._explain(dict(request.query))
        except ExplainError as error:
            return _json_response({'error': str(error)}, HTTPStatus.BAD_REQUEST)
        return _json_response(explanation)

    async def _get_metrics(self, _request: web.Request) -> web.Response:
        if self._exposition is None:
            return _json_response({'error': 'no metrics'}, HTTPStatus.NOT_FOUND)
        return web.Response(
            body=self._exposition(), headers={'Content-Type': EXPOSITION_TYPE}
        )

    def _explain(self, query: dict[str, str]) -> Explanation:
        if len(query) != 1 or not EXPLAIN_PARAMETERS.issuperset(query):
            raise ExplainError('expected one of request= and engine=')
        parameter, name = query.popitem()
        if parameter == 'engine':
            return Explanation(self._journal.of_engine(name))
        decisions = self._decisions(name) if self._decisions else ()
        return Explanation(self._journal.of_request(name), decisions)


def _provider_state(provider: Provider) -> object:
    # An error in one section must not hide the others from the operator.
    try:
        return msgspec.to_builtins(
            provider(), enc_hook=str, str_keys=True, order='deterministic'
        )
    except Exception as error:
        return {'error': repr(error)}


def _json_response(
    body: object, status: HTTPStatus = HTTPStatus.OK
) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(body, enc_hook=str),
        status=status,
        content_type='application/json',
    )
