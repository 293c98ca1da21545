"""
bergamotshed.composition
~~~~~~~~~~~~~~~~~~~~~~~~

The composition root: builds every part of a router from its settings and
wires the parts. Nothing here runs yet.
"""

__all__ = ('build_router',)

import random
import secrets
import sys
import time
from datetime import timedelta

from aiohttp import ClientSession

from .callers.app import build_app
from .callers.entry_addresses import FleetEntryAddresses
from .callers.server import CallersServer
from .clock import SystemClock
from .control.claims import LogClaims
from .control.configuration import ConfigurationFollower
from .control.lease_writer import LeaseOptions
from .control.leases import LeaseKeeper
from .control.reconcile import Reconciler, ReconcilerOptions
from .control.refresh import ConfigurationRefresher
from .control.types import ConfigurationInForce
from .dispatch.chat import ChatDispatcher
from .dispatch.plain import PlainDispatcher
from .engines.client import HttpEngineClient
from .engines.probe import UpstreamProbe
from .engines.watch import EngineReports, EngineWatcher
from .fleet import ServiceKind
from .inspection import Inspected, build_operators_server
from .log.client import HttpLog
from .operators.server import OperatorsServer
from .parts import Duties, Fleetwork, Foundation, RequestPath, Router, Run
from .process.drain import Drain
from .process.journal import Journal
from .process.traffic import Traffic
from .routers.claims import OwnerClaims
from .routers.configuration import ConfigurationExchange
from .routers.crashes import CrashExchange
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
from .routing.types import Upstream
from .routing.view import RouterNode
from .services.client import HttpServiceClient
from .settings import Settings
from .telemetry import setup_logging
from .vms.client import HttpVmList
from .vms.watch import VmWatcher
from .weights.client import HttpWeightStore
from .weights.rate_limiter import RateLimitedWeightStore, RateLimiter
from .weights.types import WeightStore

CONTROL_LEASE = 'control'
TOKEN_KEY_BYTES = 32
NANOSECONDS_PER_MICROSECOND = 1000


#: Part of each upstream's slots that a router takes when no home answers;
#: one in as many as there are entry VMs.
FALLBACK_SHARE = 0.25


def build_router(settings: Settings, session: ClientSession) -> Router:
    """Build and wire all parts of one router."""
    journal = setup_logging(sys.stderr, settings.router.name)
    foundation = _lay(settings, session)
    fleetwork = _join(foundation)
    path = _build_path(foundation, fleetwork)
    duties = _build_duties(foundation, fleetwork)
    drain = _build_drain(foundation, fleetwork, path)
    return Router(
        clock=foundation.clock,
        fleetwork=fleetwork,
        path=path,
        duties=duties,
        operators=_build_operators(
            foundation, fleetwork, path, duties, drain, journal
        ),
        drain=drain,
        tasks=_tasks(foundation, fleetwork, duties),
    )


def _lay(settings: Settings, session: ClientSession) -> Foundation:
    clock = SystemClock()
    traffic = Traffic(clock)
    boots = BootRegistry()
    return Foundation(
        settings=settings,
        clock=clock,
        rng=random.SystemRandom(),
        traffic=traffic,
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
        boots=boots,
        reports=EngineReports(clock, boots),
    )


def _join(foundation: Foundation) -> Fleetwork:
    settings = foundation.settings
    clock = foundation.clock
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
        foundation.traffic.count,
        incarnation=time.time_ns() // NANOSECONDS_PER_MICROSECOND,
    )
    quarantine = Quarantine(clock)
    placer = HomePlacer(
        name,
        mesh,
        membership,
        _local_placer(foundation, membership, quarantine),
        _local_placer(foundation, membership, quarantine, FALLBACK_SHARE),
        foundation.configuration,
        clock,
    )
    heartbeats = Heartbeats(
        mesh,
        membership,
        placer,
        foundation.configuration,
        clock,
        UpstreamProbe(
            foundation.engines, foundation.configuration
        ).is_answering,
    )
    return Fleetwork(
        membership,
        mesh,
        placer,
        heartbeats,
        ConfigurationExchange(mesh, membership, foundation.configuration),
        quarantine,
        CrashExchange(name, mesh, membership, quarantine, clock),
    )


def _local_placer(
    foundation: Foundation,
    membership: Membership,
    quarantine: Quarantine,
    share: float = 1,
) -> LocalPlacer:
    return LocalPlacer(
        foundation.configuration,
        membership,
        foundation.clock,
        foundation.rng,
        router=foundation.settings.router.name,
        share=share,
        guards=Guards(foundation.reports, quarantine),
    )


def _build_path(foundation: Foundation, fleetwork: Fleetwork) -> RequestPath:
    settings = foundation.settings
    clock = foundation.clock
    placer = HealthRecordingPlacer(
        fleetwork.placer, fleetwork.membership.health
    )
    claims = LogClaims(
        foundation.log,
        settings.router.name,
        clock,
        settings.control.claims_window,
    )
    owned = OwnerClaims(
        settings.router.name,
        fleetwork.mesh,
        fleetwork.membership,
        claims,
        clock,
    )
    budget = RetryBudget()
    chat = ChatDispatcher(
        foundation.configuration,
        placer,
        foundation.engines,
        owned,
        fleetwork.quarantine,
        budget,
        clock,
        foundation.boots,
    )
    plain = PlainDispatcher(
        foundation.configuration,
        placer,
        HttpServiceClient(
            foundation.session, clock, settings.engines.connect_timeout
        ),
        owned,
        budget,
        clock,
    )
    return RequestPath(
        chat, plain, claims, _build_server(foundation, fleetwork, chat, plain)
    )


def _build_server(
    foundation: Foundation,
    fleetwork: Fleetwork,
    chat: ChatDispatcher,
    plain: PlainDispatcher,
) -> CallersServer:
    settings = foundation.settings
    app = build_app(
        chat,
        plain,
        FleetEntryAddresses(fleetwork.membership, foundation.configuration),
        foundation.clock,
        token_key=settings.security.token_key
        or secrets.token_bytes(TOKEN_KEY_BYTES),
        max_body_bytes=settings.callers.max_body,
        read_timeout=settings.callers.read_timeout,
    )
    return CallersServer(settings.callers.host, settings.callers.port, app)


def _build_duties(foundation: Foundation, fleetwork: Fleetwork) -> Duties:
    options = foundation.settings.control
    clock = foundation.clock
    follower = ConfigurationFollower(
        foundation.log,
        foundation.configuration,
        clock,
        fleetwork.configurations.pull,
    )
    lease = LeaseKeeper(
        foundation.log,
        LeaseOptions(CONTROL_LEASE, options.lease_ttl, options.lease_margin),
        foundation.settings.router.name,
        clock,
        foundation.rng,
    )
    refresher = ConfigurationRefresher(
        foundation.log, lease, follower, clock, options.refresh_every
    )
    reconciler = Reconciler(
        lease,
        foundation.configuration,
        fleetwork.membership,
        foundation.engines,
        _weight_store(foundation),
        clock,
        ReconcilerOptions(options.reconcile_every, options.unfenced_wait),
    )
    return Duties(follower, lease, refresher, reconciler)


def _weight_store(foundation: Foundation) -> WeightStore | None:
    url = foundation.settings.platform.weights
    if not url:
        return None
    return RateLimitedWeightStore(
        HttpWeightStore(url, foundation.session, foundation.traffic.count),
        RateLimiter(
            foundation.clock, foundation.settings.platform.weights_rate
        ),
    )


def _build_drain(
    foundation: Foundation, fleetwork: Fleetwork, path: RequestPath
) -> Drain:
    return Drain(
        fleetwork.heartbeats.announce,
        lambda: timedelta(
            seconds=foundation.configuration.fleet.entries_lifetime
        ),
        lambda: path.server.in_flight,
        foundation.clock,
        foundation.settings.router.stop_timeout,
    )


def _build_operators(
    foundation: Foundation,
    fleetwork: Fleetwork,
    path: RequestPath,
    duties: Duties,
    drain: Drain,
    journal: Journal,
) -> OperatorsServer:
    return build_operators_server(
        foundation.settings,
        Inspected(
            configuration=foundation.configuration,
            traffic=foundation.traffic,
            reports=foundation.reports,
            membership=fleetwork.membership,
            mesh=fleetwork.mesh,
            placer=fleetwork.placer,
            quarantine=fleetwork.quarantine,
            server=path.server,
            claims=path.claims,
            follower=duties.follower,
            lease=duties.lease,
            reconciler=duties.reconciler,
            drain=drain,
        ),
        journal,
    )


def _tasks(
    foundation: Foundation, fleetwork: Fleetwork, duties: Duties
) -> list[Run]:
    settings = foundation.settings
    watcher = VmWatcher(
        HttpVmList(
            settings.platform.vms, foundation.session, foundation.traffic.count
        ),
        fleetwork.membership.update_list,
        settings.peers.port,
        foundation.clock,
    )
    engines = EngineWatcher(
        foundation.engines,
        foundation.reports,
        lambda: _homed_engines(foundation, fleetwork),
        lambda engine: _is_settled(foundation, engine),
        foundation.clock,
    )
    return [
        watcher.run,
        engines.run,
        fleetwork.heartbeats.run,
        fleetwork.crashes.run,
        duties.follower.run,
        duties.lease.run,
        duties.refresher.run,
        duties.reconciler.run,
    ]


def _is_settled(foundation: Foundation, engine: Upstream) -> bool:
    """Tell whether an engine reports the models that all must have."""
    service = foundation.configuration.fleet.service(engine.service)
    if service is None:
        return True
    return all(
        foundation.reports.can_serve(
            engine.name, '+'.join((f'{live.name}@{live.version}', *adapter))
        )
        for live in service.models
        if not live.engines
        for adapter in ((), *((name,) for name in live.adapters))
    )


def _homed_engines(
    foundation: Foundation, fleetwork: Fleetwork
) -> list[Upstream]:
    """Return the engines of the services that have a home here."""
    homed = {
        service
        for service, _ in fleetwork.placer.home_manager.home_partitions()
    }
    return [
        upstream
        for service in foundation.configuration.fleet.services
        if service.kind is ServiceKind.ENGINE and service.name in homed
        for upstream in fleetwork.membership.upstreams(service.name)
    ]
