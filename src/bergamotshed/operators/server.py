"""
bergamotshed.operators.server
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The operators' address of a process: its health, its state, what it did and
why, and its metrics.
"""

__all__ = ('HealthReport', 'OperatorsServer', 'Provider')

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

import msgspec
from aiohttp import web

from ..process.journal import Journal, JournalEntry
from .errors import ExplainError

EXPOSITION_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
SHUTDOWN_TIMEOUT_S = 1
SUBJECTS = frozenset(('request', 'engine'))

Provider = Callable[[], object]


@dataclass(frozen=True, slots=True)
class HealthReport:
    """How a process is.

    :ivar ready: it takes callers' requests
    :ivar phase: how far a planned stop has come
    :ivar configuration: version in force; -1 for none
    :ivar reason: why it is not ready, if it is not
    """

    name: str
    ready: bool
    phase: str
    configuration: int
    reason: str = ''


@dataclass(frozen=True, slots=True)
class Explanation:
    """What one router knows of a request or an engine.

    :ivar events: what it logged, the oldest first
    :ivar decisions: where it placed the request, and on what grounds
    """

    events: tuple[JournalEntry, ...]
    decisions: object = ()


class OperatorsServer:
    """Answers operators over HTTP.

    :param health: gives the present facts
    :param exposition: gives the metrics in the scraper's text form
    :param decisions: gives the placement decisions on a request
    """

    def __init__(
        self,
        host: str,
        port: int,
        health: Callable[[], HealthReport],
        journal: Journal,
        exposition: Callable[[], bytes] | None = None,
        decisions: Callable[[str], object] | None = None,
    ) -> None:
        self._host = host
        self._port = port
        self._health = health
        self._journal = journal
        self._exposition = exposition
        self._decisions = decisions
        self._providers: dict[str, Provider] = {}
        self._runner: web.AppRunner | None = None

    @property
    def port(self) -> int:
        """Return the port, also when the system chose it."""
        if self._runner is None or not self._runner.addresses:
            return self._port
        return int(self._runner.addresses[0][1])

    def register(self, name: str, provider: Provider) -> None:
        """Add a part of the state dump.

        :param provider: returns data classes, structs or plain containers
        """
        self._providers[name] = provider

    async def start(self) -> None:
        """Listen.

        :raises OSError: the address is taken
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
        await web.TCPSite(self._runner, self._host, self._port).start()

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def dump(self) -> dict[str, object]:
        """Return the state of every registered part."""
        return {
            name: _state_of(provider)
            for name, provider in sorted(self._providers.items())
        }

    async def _get_health(self, _request: web.Request) -> web.Response:
        facts = self._health()
        status = HTTPStatus.OK
        if not facts.ready:
            status = HTTPStatus.SERVICE_UNAVAILABLE
        return _json(facts, status)

    async def _get_state(self, _request: web.Request) -> web.Response:
        return _json(self.dump())

    async def _get_explain(self, request: web.Request) -> web.Response:
        try:
            explanation = self._explain(dict(request.query))
        except ExplainError as error:
            return _json({'error': str(error)}, HTTPStatus.BAD_REQUEST)
        return _json(explanation)

    async def _get_metrics(self, _request: web.Request) -> web.Response:
        if self._exposition is None:
            return _json({'error': 'no metrics'}, HTTPStatus.NOT_FOUND)
        return web.Response(
            body=self._exposition(), headers={'Content-Type': EXPOSITION_TYPE}
        )

    def _explain(self, query: dict[str, str]) -> Explanation:
        if len(query) != 1 or not SUBJECTS.issuperset(query):
            raise ExplainError('expected one of request= and engine=')
        subject, name = query.popitem()
        if subject == 'engine':
            return Explanation(self._journal.of_engine(name))
        decisions = self._decisions(name) if self._decisions else ()
        return Explanation(self._journal.of_request(name), decisions)


def _state_of(provider: Provider) -> object:
    # One broken part must not hide the others from an operator.
    try:
        return msgspec.to_builtins(
            provider(), enc_hook=str, str_keys=True, order='deterministic'
        )
    except Exception as error:
        return {'error': repr(error)}


def _json(body: object, status: HTTPStatus = HTTPStatus.OK) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(body, enc_hook=str),
        status=status,
        content_type='application/json',
    )
