"""
bergamotshed.composition
~~~~~~~~~~~~~~~~~~~~~~~~

The composition root: builds every part of a router from its settings and
connects the parts. Nothing is started here.
"""

__all__ = ('build_router',)

import random
import secrets
import sys
import time
from datetime import timedelta

from aiohttp import ClientSession

from .background import build_control_parts, task_functions
from .callers.app import build_app
from .callers.entry_addresses import FleetEntryAddresses
from .callers.server import CallersServer
from .clock import SystemClock
from .control.claims import LogClaims
from .control.types import ConfigurationInForce
from .dispatch.chat import ChatDispatcher
from .dispatch.plain import PlainDispatcher
from .engines.client import HttpEngineClient
from .engines.probe import UpstreamProbe
from .engines.watch import EngineReports
from .inspection import InspectedParts, build_operators_server
from .intake.intake import Intake
from .log.client import HttpLog
from .operators.server import OperatorsServer
from .parts import (
    ControlParts,
    CoreParts,
    FleetParts,
    RequestParts,
    Router,
)
from .process.drain import Drain
from .process.journal import Journal
from .process.traffic import Traffic
from .routers.claims import OwnerClaims
from .routers.configuration import ConfigurationExchange
from .routers.confirmednotices import ConfirmedNotices
from .routers.crashparts import build_crash_parts
from .routers.heartbeats import Heartbeats
from .routers.mesh import PeerMesh
from .routers.placer import HomePlacer
from .routing.boots import BootRegistry
from .routing.guards import Guards
from .routing.health import UpstreamHealth
from .routing.health_placer import HealthRecordingPlacer
from .routing.local import LocalPlacer
from .routing.membership import Membership
from .routing.quarantine import Quarantine
from .routing.retry import RetryBudget
from .routing.view import RouterNode, RouterView
from .services.client import HttpServiceClient
from .settings import Settings
from .telemetry import setup_logging
from .upstreams.pool import ConnectionPool, PoolOptions

TOKEN_KEY_BYTES = 32
NANOSECONDS_PER_MICROSECOND = 1000

#: Share of each upstream's slots that a router may use when no home answers;
#: one divided by the number of entry VMs.
FALLBACK_SHARE = 0.25


def build_router(settings: Settings, session: ClientSession) -> Router:
    """Build and connect all parts of one router."""
    journal = setup_logging(sys.stderr, settings.router.name)
    core_parts = _build_core_parts(settings, session)
    fleet_parts = _build_fleet_parts(core_parts)
    request_parts = _build_request_parts(core_parts, fleet_parts)
    control_parts = build_control_parts(core_parts, fleet_parts)
    drain = _build_drain(core_parts, fleet_parts, request_parts)
    return Router(
        clock=core_parts.clock,
        fleet_parts=fleet_parts,
        request_parts=request_parts,
        control_parts=control_parts,
        operators=_build_operators(
            core_parts,
            fleet_parts,
            request_parts,
            control_parts,
            drain,
            journal,
        ),
        drain=drain,
        tasks=task_functions(core_parts, fleet_parts, control_parts),
    )


def _build_core_parts(settings: Settings, session: ClientSession) -> CoreParts:
    clock = SystemClock()
    traffic = Traffic(clock)
    boots = BootRegistry()
    return CoreParts(
        settings=settings,
        clock=clock,
        rng=random.SystemRandom(),
        traffic=traffic,
        intake=Intake.of_machine(settings.limits.memory_mb, clock),
        session=session,
        configuration=ConfigurationInForce(),
        log=HttpLog(settings.platform.log, clock, session, traffic.count),
        engines=HttpEngineClient(
            session,
            clock,
            settings.engines.idle_timeout,
            traffic.count,
            settings.engines.connect_timeout,
        ),
        service_connections=ConnectionPool(
            PoolOptions(connect_timeout=settings.engines.connect_timeout),
            clock,
        ),
        boots=boots,
        reports=EngineReports(clock, boots),
    )


def _build_fleet_parts(core_parts: CoreParts) -> FleetParts:
    settings = core_parts.settings
    clock = core_parts.clock
    name = settings.router.name
    node = RouterNode(
        name=name,
        callers=f'{settings.callers.host}:{settings.callers.port}',
        peers=f'{settings.peers.host}:{settings.peers.port}',
        domain=settings.router.domain,
    )
    membership = Membership(node, clock, UpstreamHealth(name, clock))
    mesh = PeerMesh(
        name,
        node.peers,
        clock,
        core_parts.traffic.count,
        incarnation=time.time_ns() // NANOSECONDS_PER_MICROSECOND,
    )
    crashes = build_crash_parts(
        name,
        mesh,
        ConfirmedNotices(name, mesh, membership, clock),
        lambda: _live_routers(membership),
        clock,
    )
    placer = HomePlacer(
        name,
        mesh,
        membership,
        _build_local_placer(core_parts, membership, crashes.quarantine),
        _build_local_placer(
            core_parts, membership, crashes.quarantine, FALLBACK_SHARE
        ),
        core_parts.configuration,
        clock,
    )
    heartbeats = Heartbeats(
        mesh,
        membership,
        placer,
        core_parts.configuration,
        clock,
        UpstreamProbe(
            core_parts.engines, core_parts.configuration
        ).is_answering,
    )
    return FleetParts(
        membership,
        mesh,
        placer,
        heartbeats,
        ConfigurationExchange(mesh, membership, core_parts.configuration),
        crashes,
    )


def _live_routers(view: RouterView) -> list[str]:
    return [node.name for node in view.routers() if not node.suspect]


def _build_local_placer(
    core_parts: CoreParts,
    membership: Membership,
    quarantine: Quarantine,
    share: float = 1,
) -> LocalPlacer:
    return LocalPlacer(
        core_parts.configuration,
        membership,
        core_parts.clock,
        core_parts.rng,
        router=core_parts.settings.router.name,
        share=share,
        guards=Guards(core_parts.reports, quarantine),
    )


def _build_request_parts(
    core_parts: CoreParts, fleet_parts: FleetParts
) -> RequestParts:
    settings = core_parts.settings
    clock = core_parts.clock
    placer = HealthRecordingPlacer(
        fleet_parts.placer, fleet_parts.membership.health
    )
    claims = LogClaims(
        core_parts.log,
        settings.router.name,
        clock,
        settings.control.claims_window,
    )
    owner_claims = OwnerClaims(
        settings.router.name,
        fleet_parts.mesh,
        fleet_parts.membership,
        claims,
        clock,
    )
    budget = RetryBudget()
    chat = ChatDispatcher(
        core_parts.configuration,
        placer,
        core_parts.engines,
        owner_claims,
        fleet_parts.crashes.quarantine,
        budget,
        clock,
        core_parts.boots,
    )
    plain = PlainDispatcher(
        core_parts.configuration,
        placer,
        HttpServiceClient(core_parts.service_connections, clock),
        owner_claims,
        budget,
        clock,
    )
    return RequestParts(
        chat, plain, claims, _build_server(core_parts, fleet_parts, chat, plain)
    )


def _build_server(
    core_parts: CoreParts,
    fleet_parts: FleetParts,
    chat: ChatDispatcher,
    plain: PlainDispatcher,
) -> CallersServer:
    settings = core_parts.settings
    app = build_app(
        chat,
        plain,
        FleetEntryAddresses(fleet_parts.membership, core_parts.configuration),
        core_parts.clock,
        token_key=settings.security.token_key
        or secrets.token_bytes(TOKEN_KEY_BYTES),
        max_body_bytes=settings.callers.max_body,
        read_timeout=settings.callers.read_timeout,
    )
    return CallersServer(
        settings.callers.host, settings.callers.port, app, core_parts.intake
    )


def _build_drain(
    core_parts: CoreParts, fleet_parts: FleetParts, request_parts: RequestParts
) -> Drain:
    return Drain(
        fleet_parts.heartbeats.announce_leaving,
        lambda: timedelta(
            seconds=core_parts.configuration.fleet.entries_lifetime
        ),
        lambda: request_parts.server.in_flight,
        core_parts.clock,
        core_parts.settings.router.stop_timeout,
    )


def _build_operators(
    core_parts: CoreParts,
    fleet_parts: FleetParts,
    request_parts: RequestParts,
    control_parts: ControlParts,
    drain: Drain,
    journal: Journal,
) -> OperatorsServer:
    return build_operators_server(
        core_parts.settings,
        InspectedParts(
            configuration=core_parts.configuration,
            traffic=core_parts.traffic,
            intake=core_parts.intake,
            reports=core_parts.reports,
            membership=fleet_parts.membership,
            mesh=fleet_parts.mesh,
            placer=fleet_parts.placer,
            quarantine=fleet_parts.crashes.quarantine,
            server=request_parts.server,
            claims=request_parts.claims,
            follower=control_parts.follower,
            lease=control_parts.lease,
            reconciler=control_parts.reconciler,
            drain=drain,
        ),
        journal,
    )
