"""
bergamotshed.gateway.composition
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The composition root of the gateway: builds every part from the settings and
connects the parts. Nothing is started here.
"""

__all__ = ('build_gateway',)

import math
import random
from datetime import timedelta

from aiohttp import ClientSession

from ..clock import Clock
from ..edge.info_server import EntryAddressesPage, HealthPage, InfoServer
from ..edge.server import EdgeOptions, EdgeServer
from ..forwarding.attempts import ForwardingDependencies
from ..forwarding.crash_detector import CrashDetector
from ..forwarding.forwarder import Forwarder
from ..forwarding.request_admission import AdmissionOptions, RequestAdmission
from ..operators.server import OperatorsServer
from ..platform.configuration import PlatformRoutingDataDecoder
from ..platform.headers import PlatformDialect
from ..platform.instances import PlatformInstanceDecoder
from ..platform.store import PlatformStore
from ..process.journal import Journal
from ..process.metrics import Meters
from ..process.requests import RequestMetrics
from ..process.shutdown import ShutdownWindow
from ..process.traffic import Traffic
from ..roster.announcer import Announcer
from ..roster.roster import Roster
from ..roster.types import RosterEntry
from ..routers.confirmednotices import ConfirmedNotices
from ..routers.crashparts import build_crash_parts
from ..routers.gatewayheartbeats import GatewayHeartbeats
from ..routers.mesh import PeerMesh
from ..routers.sharedstate import build_shared_state
from ..routers.storerelay import StoreRelay
from ..routers.suspectstore import SuspectStore
from ..routes.current_table import CurrentRoutingTable
from ..routing.affinity import AffinityPlacer
from ..routing.cache_source import CacheSources
from ..routing.fleet_retry_budget import (
    FleetRetryBudget,
    FleetRetryBudgetOptions,
)
from ..routing.upstream_loads import UpstreamLoads
from ..store.health import StoreHealth
from ..store.types import Topic
from ..upstreams.pool import ConnectionPool, PoolOptions
from ..upstreams.registry import UpstreamRegistry
from .followers import build_followers, topic_consumers
from .heartbeat import HeartbeatBuilder
from .inspection import health_report, register_inspection
from .live_settings import LiveSettings
from .parts import FleetParts, Gateway, GatewayMetrics
from .return_spread import ReturnSpread
from .settings import AddressSettings, GatewaySettings

#: Part of the time after which a revoked key must not run that is reserved
#: for sending the request to the upstream.
REVOKE_MARGIN = timedelta(milliseconds=250)
#: Age of the configuration, as a share of the time to apply a version, from
#: which on an unknown route or key is not denied, as a newer version may
#: contain it.
DENIAL_SHARE = 0.95
#: How long an idle connection of a caller is kept; well above any limit that
#: operators set for callers.
CALLER_IDLE_TIMEOUT = timedelta(seconds=120)
#: Share of an upstream's connection limit that the routers use for requests;
#: the rest is for idle connections and for routers that are not counted yet.
CONNECTIONS_SHARE = 0.7
#: Number of crashes after which a request is not run again (the platform
#: allows three), and how long a crash counts.
MAX_CRASHES = 3
CRASH_RETENTION = timedelta(minutes=2)
MILLISECOND = timedelta(milliseconds=1)


def build_gateway(
    live: LiveSettings,
    session: ClientSession,
    clock: Clock,
    journal: Journal,
) -> Gateway:
    """Build and connect all parts.

    :param session: HTTP client session for the store
    :param journal: the latest log messages
    """
    settings = live.current
    entry = _roster_entry(settings, clock)
    shutdown = ShutdownWindow(
        lambda: timedelta(seconds=live.current.node.grace_s), clock
    )
    fleet = _build_fleet_parts(settings, clock, entry, shutdown, session)
    meters = Meters(settings.node.name)
    metrics = GatewayMetrics(meters, RequestMetrics(meters))
    forwarding = _build_forwarding(live, clock, fleet, shutdown)
    announcer = Announcer(
        fleet.store,
        entry,
        clock,
        ReturnSpread(settings.store, fleet.roster.count).draw,
    )
    fleet.roster.watch_own(announcer.check_listed)
    gateway = Gateway(
        live=live,
        clock=clock,
        fleet=fleet,
        metrics=metrics,
        forwarding=forwarding,
        announcer=announcer,
        edge=_build_edge(settings.addresses, forwarding, metrics),
        shutdown=shutdown,
        health=InfoServer(
            settings.addresses.health,
            {'/v1/health': HealthPage(lambda: gateway.is_ready())},
        ),
        directory=InfoServer(
            settings.addresses.directory,
            {
                '/v1/entries': EntryAddressesPage(
                    lambda: gateway.entry_addresses(),
                    lambda: gateway.settings.directory.lifetime_s,
                )
            },
        ),
        operators=OperatorsServer(
            *_host_and_port(settings.addresses.operators),
            lambda: health_report(gateway),
            journal,
            meters.exposition,
        ),
        tasks=[
            *(follower.run for follower in fleet.followers.values()),
            fleet.heartbeats.run,
            fleet.crashes.exchange.run,
            SuspectStore(
                fleet.store,
                fleet.crashes.quarantine.parts,
                fleet.crashes.is_home,
                clock,
            ).run,
            live.run,
        ],
    )
    register_inspection(gateway)
    return gateway


def _build_fleet_parts(
    settings: GatewaySettings,
    clock: Clock,
    entry: RosterEntry,
    shutdown: ShutdownWindow,
    session: ClientSession,
) -> FleetParts:
    health = StoreHealth(clock)
    store = PlatformStore(settings.store.address, session)
    routing = CurrentRoutingTable(PlatformRoutingDataDecoder(), clock)
    registry = UpstreamRegistry(PlatformInstanceDecoder(), health, clock)
    roster = Roster(entry, health, clock)
    traffic = Traffic(clock)
    mesh = _build_mesh(entry, clock, traffic)
    heartbeats = GatewayHeartbeats(
        mesh,
        entry.name,
        roster.routers,
        HeartbeatBuilder(
            _admission_options(settings).max_keyed_age, routing, shutdown
        ).build,
        routing.hear_version,
        clock,
    )
    notices = ConfirmedNotices(entry.name, mesh, roster, clock)
    return FleetParts(
        store=store,
        store_health=health,
        traffic=traffic,
        routing=routing,
        registry=registry,
        roster=roster,
        crashes=build_crash_parts(
            entry.name,
            mesh,
            notices,
            heartbeats.live_routers,
            clock,
            MAX_CRASHES,
            CRASH_RETENTION,
        ),
        heartbeats=heartbeats,
        shared=build_shared_state(
            entry.name, heartbeats, notices, roster, registry, clock
        ),
        followers=build_followers(
            topic_consumers(settings, routing, registry, roster),
            StoreRelay(
                store,
                entry.name,
                mesh,
                lambda: _live_in_domain(entry, roster, heartbeats),
                clock,
            ),
            health,
            clock,
            ReturnSpread(settings.store, roster.count),
        ),
    )


def _live_in_domain(
    own: RosterEntry, roster: Roster, heartbeats: GatewayHeartbeats
) -> list[str]:
    """Return the live routers of this router's failure domain."""
    in_domain = {
        entry.name for entry in roster.entries if entry.domain == own.domain
    }
    return [name for name in heartbeats.live_routers() if name in in_domain]


def _build_mesh(entry: RosterEntry, clock: Clock, traffic: Traffic) -> PeerMesh:
    return PeerMesh(
        entry.name,
        entry.peers,
        clock,
        traffic.count,
        incarnation=entry.started,
    )


def _roster_entry(settings: GatewaySettings, clock: Clock) -> RosterEntry:
    return RosterEntry(
        name=settings.node.name,
        callers=settings.addresses.callers,
        peers=settings.addresses.peers,
        domain=settings.node.domain,
        started=int(clock.now().timestamp() * 1000),
    )


def _build_forwarding(
    live: LiveSettings,
    clock: Clock,
    fleet: FleetParts,
    shutdown: ShutdownWindow,
) -> ForwardingDependencies:
    rng = random.Random()
    loads = UpstreamLoads(clock)
    pool = ConnectionPool(PoolOptions(), clock)
    return ForwardingDependencies(
        admission=RequestAdmission(
            lambda: _admission_options(live.current),
            fleet.routing,
            shutdown,
            fleet.followers[Topic.CONFIGURATION].confirm,
            fleet.heartbeats.has_ready_peer,
            rng.random,
        ),
        crashes=CrashDetector(fleet.crashes.quarantine, pool, clock),
        registry=fleet.registry,
        placer=AffinityPlacer(
            fleet.registry,
            loads,
            CacheSources(fleet.registry, loads, fleet.shared.prompts.memory),
            lambda service: _max_in_flight(fleet, service),
            live.current.node.domain,
            rng.random,
        ),
        loads=loads,
        prompts=fleet.shared.prompts,
        origins=fleet.shared.origins,
        slots=fleet.shared.slots,
        rates=fleet.shared.rates,
        retries=FleetRetryBudget(
            lambda: _retry_options(live.current),
            fleet.roster.count,
            clock,
        ),
        pool=pool,
        dialect=PlatformDialect(),
        clock=clock,
    )


def _max_in_flight(fleet: FleetParts, service: str) -> float:
    """Return this router's share of the connections to one upstream."""
    table = fleet.routing.table
    routed = None if table is None else table.services.get(service)
    if routed is None or not routed.max_connections:
        return math.inf
    usable = routed.max_connections * CONNECTIONS_SHARE
    return max(1, usable / fleet.roster.count())


def _retry_options(settings: GatewaySettings) -> FleetRetryBudgetOptions:
    return FleetRetryBudgetOptions(
        settings.retries.ratio,
        settings.retries.slack,
        timedelta(seconds=settings.retries.window_s),
    )


def _admission_options(settings: GatewaySettings) -> AdmissionOptions:
    limits = settings.configuration
    connect_timeout = PoolOptions().connect_timeout
    return AdmissionOptions(
        max_keyed_age=limits.revoke_ms * MILLISECOND
        - connect_timeout
        - REVOKE_MARGIN,
        max_denial_age=limits.apply_ms * MILLISECOND * DENIAL_SHARE,
    )


def _build_edge(
    addresses: AddressSettings,
    forwarding: ForwardingDependencies,
    metrics: GatewayMetrics,
) -> EdgeServer:
    return EdgeServer(
        EdgeOptions(addresses.callers, CALLER_IDLE_TIMEOUT),
        Forwarder(forwarding),
        forwarding.dialect,
        metrics.requests,
        forwarding.clock,
    )


def _host_and_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)
