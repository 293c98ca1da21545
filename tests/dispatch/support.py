"""Fakes of the interfaces that the request path uses."""

import itertools
import random
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from datetime import timedelta

from aiohttp import ClientSession, web

from bergamotshed.callers.app import build_app
from bergamotshed.callers.entry_addresses import (
    EntryAddresses,
    EntryAddressesSource,
)
from bergamotshed.callers.server import CallersServer
from bergamotshed.clock import SystemClock
from bergamotshed.control.types import (
    Claim,
    Claims,
    ConfigurationInForce,
    SettledAnswer,
)
from bergamotshed.dispatch.chat import ChatDispatcher
from bergamotshed.dispatch.plain import PlainDispatcher
from bergamotshed.engines.client import HttpEngineClient
from bergamotshed.fleet import (
    Fleet,
    LiveModel,
    Organisation,
    Service,
    ServiceKind,
)
from bergamotshed.reasons import Reason, Refusal
from bergamotshed.routing.local import LocalPlacer
from bergamotshed.routing.quarantine import Quarantine
from bergamotshed.routing.retry import RetryBudget
from bergamotshed.routing.types import (
    Outcome,
    Placement,
    PlacementRequest,
    Placer,
    Upstream,
)
from bergamotshed.routing.view import FleetView, RouterNode
from bergamotshed.services.client import HttpServiceClient
from bergamotshed.upstreams.pool import ConnectionPool, PoolOptions
from tests.intake.support import make_intake
from tests.standins.base import StandIn
from tests.standins.engine import EngineStandIn
from tests.standins.plain import PlainStandIn
from tests.standins.runs import EngineOptions

IDLE_TIMEOUT = timedelta(seconds=0.4)
SEED = 20261203
FLEET = Fleet(
    services=(
        Service(
            name='drafting',
            models=(LiveModel('draft', '1', adapters=('quito',)),),
        ),
        Service(name='slots', kind=ServiceKind.PLAIN, at_most_once=('book',)),
    ),
    organisations=(
        Organisation(name='sierra', services=('drafting', 'slots')),
        Organisation(name='costa', services=('drafting',)),
    ),
)


class FakePlacer(Placer):
    """Places each request on the first upstream that is not excluded.

    :ivar grants: upstream of each placement that was not released yet
    """

    def __init__(self, upstreams: dict[str, list[Upstream]]) -> None:
        self.upstreams = upstreams
        self.requests: list[PlacementRequest] = []
        self.outcomes: list[tuple[str, Outcome]] = []
        self.grants: dict[int, str] = {}
        self._grants = itertools.count()

    async def place(self, request: PlacementRequest) -> Placement | Refusal:
        self.requests.append(request)
        for upstream in self.upstreams.get(request.service, []):
            if upstream.name not in request.excluded:
                grant = next(self._grants)
                self.grants[grant] = upstream.name
                return Placement(upstream, grant, 'home')
        return Refusal(Reason.NO_ENGINE)

    def release(
        self,
        request: PlacementRequest,
        placement: Placement,
        outcome: Outcome,
        cached: int = 0,
    ) -> None:
        del self.grants[placement.grant]
        self.outcomes.append((placement.upstream.name, outcome))


class FixedFleetView(FleetView):
    """A fixed set of live upstreams."""

    def __init__(self, upstreams: dict[str, list[Upstream]]) -> None:
        self._upstreams = upstreams

    def upstreams(self, service: str) -> tuple[Upstream, ...]:
        return tuple(self._upstreams.get(service, ()))

    def routers(self) -> tuple[RouterNode, ...]:
        return (RouterNode('r0', '', '', 'a'),)


class FakeClaims(Claims):
    """Keeps claims in memory.

    :ivar refusal: returned for each claim, if set
    :ivar answers: stored answer of each claimed key
    """

    def __init__(self) -> None:
        self.refusal: Refusal | None = None
        self.answers: dict[str, SettledAnswer | None] = {}
        self.voided: list[str] = []

    async def claim(
        self, organisation: str, key: str
    ) -> Claim | SettledAnswer | Refusal:
        if self.refusal is not None:
            return self.refusal
        if key in self.answers:
            return self.answers[key] or Refusal(Reason.CLAIM_TAKEN)
        self.answers[key] = None
        return Claim(organisation, key, 'claims-0', len(self.answers))

    async def settle(self, claim: Claim, answer: SettledAnswer) -> None:
        self.answers[claim.key] = answer

    async def void(self, claim: Claim) -> None:
        self.voided.append(claim.key)
        self.answers.pop(claim.key)


class FakeEntryAddresses(EntryAddressesSource):
    """Returns fixed addresses."""

    def addresses_for(self, caller: str) -> EntryAddresses:
        return EntryAddresses(('127.0.0.1:1',), 30)


@dataclass
class Bench:
    """A router's request path with stand-in upstreams, in this process."""

    session: ClientSession
    placer: FakePlacer
    claims: FakeClaims
    quarantine: Quarantine
    budget: RetryBudget
    chat: ChatDispatcher
    plain: PlainDispatcher
    server: CallersServer
    engines: list[EngineStandIn] = field(default_factory=list)
    plain_services: list[PlainStandIn] = field(default_factory=list)

    @property
    def url(self) -> str:
        """Return the callers' address."""
        return f'http://127.0.0.1:{self.server.port}'


@asynccontextmanager
async def serving(stand_in: StandIn, port: int = 0) -> AsyncIterator[str]:
    """Serve a stand-in in this process and yield its address."""
    runner = web.AppRunner(
        stand_in.create_app(), access_log=None, shutdown_timeout=0.1
    )
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', port).start()
    try:
        yield f'127.0.0.1:{runner.addresses[0][1]}'
    finally:
        await runner.cleanup()


@asynccontextmanager
async def open_bench(
    engines: Sequence[EngineOptions] = (EngineOptions('e0'),),
    plains: int = 0,
    dead: Sequence[str] = (),
    *,
    real_placer: bool = False,
    max_body_bytes: int = 1 << 16,
    read_timeout: timedelta = timedelta(seconds=5),
) -> AsyncIterator[Bench]:
    """Start stand-ins and a request path that uses them.

    :param dead: names of engines at whose addresses nothing listens
    :param real_placer: place as a single router does, instead of on the first
        upstream
    """
    async with AsyncExitStack() as stack:
        stand_ins = [EngineStandIn(options) for options in engines]
        services = [PlainStandIn(f'p{index}') for index in range(plains)]
        upstreams = [
            Upstream(name, 'drafting', '127.0.0.1:9', 'a') for name in dead
        ]
        for engine in stand_ins:
            address = await stack.enter_async_context(serving(engine))
            upstreams.append(
                Upstream(engine.options.name, 'drafting', address, 'a')
            )
        plain_upstreams = [
            Upstream(
                f'p{index}',
                'slots',
                await stack.enter_async_context(serving(service)),
                'a',
            )
            for index, service in enumerate(services)
        ]
        session = await stack.enter_async_context(ClientSession())
        clock = SystemClock()
        configuration = ConfigurationInForce()
        configuration.advance(0, FLEET)
        upstreams_by_service = {'drafting': upstreams, 'slots': plain_upstreams}
        placer = FakePlacer(upstreams_by_service)
        local = LocalPlacer(
            configuration,
            FixedFleetView(upstreams_by_service),
            clock,
            random.Random(SEED),
            router='r0',
        )
        active_placer: Placer = local if real_placer else placer
        claims = FakeClaims()
        service_connections = ConnectionPool(PoolOptions(), clock)
        stack.callback(service_connections.close)
        quarantine = Quarantine(clock)
        budget = RetryBudget()
        chat = ChatDispatcher(
            configuration,
            active_placer,
            HttpEngineClient(session, clock, IDLE_TIMEOUT),
            claims,
            quarantine,
            budget,
            clock,
        )
        plain = PlainDispatcher(
            configuration,
            active_placer,
            HttpServiceClient(service_connections, clock),
            claims,
            budget,
            clock,
        )
        app = build_app(
            chat,
            plain,
            FakeEntryAddresses(),
            clock,
            token_key=b'k' * 16,
            max_body_bytes=max_body_bytes,
            read_timeout=read_timeout,
        )
        server = CallersServer('127.0.0.1', 0, app, make_intake(clock))
        await server.start()
        stack.push_async_callback(server.stop)
        stack.push_async_callback(chat.drain)
        stack.push_async_callback(plain.drain)
        yield Bench(
            session,
            placer,
            claims,
            quarantine,
            budget,
            chat,
            plain,
            server,
            stand_ins,
            services,
        )
