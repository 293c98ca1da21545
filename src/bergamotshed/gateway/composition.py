"""
bergamotshed.gateway.composition
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The composition root of the gateway: builds every part from its settings and
wires the parts. Nothing here runs yet.
"""

__all__ = ('build_gateway',)

import math
import random
from datetime import timedelta

from aiohttp import ClientSession

from ..clock import Clock
from ..edge.directory import EntryAddressesPage, HealthPage, InfoServer
from ..edge.server import EdgeOptions, EdgeServer
from ..forwarding.attempts import ForwardingDependencies
from ..forwarding.crashwatch import CrashDetector
from ..forwarding.forwarder import Forwarder
from ..forwarding.gate import EntryGate, GateOptions
from ..operators.server import OperatorsServer
from ..platform.configuration import PlatformRoutingDataDecoder
from ..platform.headers import PlatformDialect
from ..platform.instances import PlatformInstanceDecoder
from ..platform.store import PlatformStore
from ..process.journal import Journal
from ..process.metrics import Meters
from ..process.requests import RequestMetrics
from ..process.stopping import ShutdownWindow
from ..process.traffic import Traffic
from ..roster.announcer import Announcer
from ..roster.roster import Roster
from ..roster.types import RosterEntry
from ..routers.crashes import CrashExchange
from ..routers.mesh import PeerMesh
from ..routers.prompthomes import PromptHomes
from ..routers.pulse import GatewayHeartbeats
from ..routers.slothomes import SlotHomes
from ..routes.holder import CurrentRoutingTable
from ..routing.affinity import AffinityPlacer
from ..routing.cache_source import CacheSources
from ..routing.quarantine import Quarantine
from ..routing.retryshare import FleetRetryBudget, FleetRetryBudgetOptions
from ..routing.upstream_loads import UpstreamLoads
from ..store.follower import FollowerOptions, TopicFollower
from ..store.health import StoreHealth
from ..store.types import KeyedStore, Topic, TopicConsumer
from ..upstreams.pool import ConnectionPool, PoolOptions
from ..upstreams.registry import UpstreamRegistry
from .heartbeat import HeartbeatBuilder
from .inspection import health_report, register_inspection
from .live_settings import LiveSettings
from .parts import FleetParts, Gateway, GatewayMetrics
from .settings import AddressSettings, GatewaySettings

#: What remains of the time after which a revoked key must not run, for the
#: way to the upstream.
REVOKE_MARGIN = timedelta(milliseconds=250)
#: Part of the time to apply a version after which this router no longer
#: denies what its version does not know.
DENIAL_SHARE = 0.95
#: How long an idle connection of a caller is kept: well beyond any limit
#: that operators set for callers themselves.
CALLER_IDLE = timedelta(seconds=120)
#: Part of the connections that an upstream accepts which routers use; the rest
#: is for idle ones, and for routers that are not counted yet.
CONNECTIONS_USED = 0.7
#: Crashes from which on a request is not run any more, by the platform's
#: bound of three, and how long they are remembered.
CRASHES_TOLERATED = 3
CRASH_MEMORY = timedelta(minutes=2)
#: Part of the time in which a change must be known that a read is held back;
#: the rest is for its way and for the use of what it brought.
WAIT_SHARE = 0.7
#: Pauses after changes. Each change of a list would otherwise be a call of
#: every router; an upstream that leaves must be noticed within 2 s, and a
#: version be in force within as much.
CONFIGURATION_SETTLE = timedelta(milliseconds=150)
UPSTREAMS_SETTLE = timedelta(milliseconds=600)
ROUTERS_SETTLE = timedelta(seconds=1)

MILLISECOND = timedelta(milliseconds=1)


def build_gateway(
    live: LiveSettings,
    session: ClientSession,
    clock: Clock,
    journal: Journal,
) -> Gateway:
    """Build and wire all parts.

    :param session: HTTP towards the store
    :param journal: the newest log messages
    """
    settings = live.current
    entry = _entry(settings, clock)
    shutdown = ShutdownWindow(
        lambda: timedelta(seconds=live.current.node.grace_s), clock
    )
    fleet = _learn(settings, clock, entry, shutdown, session)
    meters = Meters(settings.node.name)
    metrics = GatewayMetrics(meters, RequestMetrics(meters))
    forwarding = _share(live, clock, fleet, shutdown)
    gateway = Gateway(
        live=live,
        clock=clock,
        fleet=fleet,
        metrics=metrics,
        forwarding=forwarding,
        announcer=Announcer(fleet.store, entry, clock),
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
            *_endpoint(settings.addresses.operators),
            lambda: health_report(gateway),
            journal,
            meters.exposition,
        ),
        tasks=[
            *(follower.run for follower in fleet.followers.values()),
            fleet.heartbeats.run,
            fleet.crashes.run,
            live.run,
        ],
    )
    register_inspection(gateway)
    return gateway


def _learn(
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
    roster = Roster(entry)
    traffic = Traffic(clock)
    mesh = _build_mesh(entry, clock, traffic)
    quarantine = Quarantine(clock, CRASHES_TOLERATED, CRASH_MEMORY)
    heartbeats = GatewayHeartbeats(
        mesh,
        entry.name,
        roster.routers,
        HeartbeatBuilder(
            _gate_options(settings).keyed_age, routing, shutdown
        ).build,
        clock,
    )
    return FleetParts(
        store=store,
        store_health=health,
        traffic=traffic,
        routing=routing,
        registry=registry,
        roster=roster,
        quarantine=quarantine,
        crashes=CrashExchange(entry.name, mesh, roster, quarantine, clock),
        heartbeats=heartbeats,
        prompts=PromptHomes(entry.name, mesh, heartbeats.live_routers, clock),
        slots=SlotHomes(entry.name, mesh, heartbeats, registry, clock),
        followers=_build_followers(
            _followed(settings, routing, registry, roster),
            store,
            health,
            clock,
        ),
    )


def _build_followers(
    followed: dict[Topic, tuple[TopicConsumer, FollowerOptions]],
    store: KeyedStore,
    health: StoreHealth,
    clock: Clock,
) -> dict[Topic, TopicFollower]:
    return {
        topic: TopicFollower(store, topic, consumer, pace, health, clock)
        for topic, (consumer, pace) in followed.items()
    }


def _followed(
    settings: GatewaySettings,
    routing: TopicConsumer,
    registry: TopicConsumer,
    roster: TopicConsumer,
) -> dict[Topic, tuple[TopicConsumer, FollowerOptions]]:
    waits = settings.store
    limits = settings.configuration
    return {
        Topic.CONFIGURATION: (
            routing,
            _pace(
                waits.configuration_wait_ms,
                limits.apply_ms,
                CONFIGURATION_SETTLE,
            ),
        ),
        Topic.UPSTREAMS: (
            registry,
            _pace(waits.upstreams_wait_ms, limits.leave_ms, UPSTREAMS_SETTLE),
        ),
        Topic.ROUTERS: (
            roster,
            FollowerOptions(
                waits.routers_wait_ms * MILLISECOND, ROUTERS_SETTLE
            ),
        ),
    }


def _pace(
    longest_ms: float, bound_ms: float, settle: timedelta
) -> FollowerOptions:
    """Return how a topic is read whose changes must be known in time.

    A read may miss a record, or its answer be lost, so that its wait bounds
    how late a change is noticed.
    """
    wait = min(longest_ms, bound_ms * WAIT_SHARE) * MILLISECOND
    return FollowerOptions(wait, settle)


def _build_mesh(entry: RosterEntry, clock: Clock, traffic: Traffic) -> PeerMesh:
    return PeerMesh(
        entry.name,
        entry.peers,
        clock,
        traffic.count,
        incarnation=entry.started,
    )


def _entry(settings: GatewaySettings, clock: Clock) -> RosterEntry:
    return RosterEntry(
        name=settings.node.name,
        callers=settings.addresses.callers,
        peers=settings.addresses.peers,
        domain=settings.node.domain,
        started=int(clock.now().timestamp() * 1000),
    )


def _share(
    live: LiveSettings,
    clock: Clock,
    fleet: FleetParts,
    shutdown: ShutdownWindow,
) -> ForwardingDependencies:
    rng = random.Random()
    loads = UpstreamLoads(clock)
    pool = ConnectionPool(PoolOptions(), clock)
    return ForwardingDependencies(
        gate=EntryGate(
            lambda: _gate_options(live.current),
            fleet.routing,
            shutdown,
            fleet.followers[Topic.CONFIGURATION].confirm,
            fleet.heartbeats.has_ready_peer,
            rng.random,
        ),
        crashes=CrashDetector(fleet.quarantine, pool, clock),
        registry=fleet.registry,
        placer=AffinityPlacer(
            fleet.registry,
            loads,
            CacheSources(fleet.registry, loads, fleet.prompts.memory),
            lambda service: _most_in_flight(fleet, service),
            live.current.node.domain,
            rng.random,
        ),
        loads=loads,
        prompts=fleet.prompts,
        slots=fleet.slots,
        retries=FleetRetryBudget(
            lambda: _retry_options(live.current),
            fleet.roster.count,
            clock,
        ),
        pool=pool,
        dialect=PlatformDialect(),
        clock=clock,
    )


def _most_in_flight(fleet: FleetParts, service: str) -> float:
    """Return this router's part of the connections of one upstream."""
    table = fleet.routing.table
    known = None if table is None else table.services.get(service)
    if known is None or not known.max_connections:
        return math.inf
    share = known.max_connections * CONNECTIONS_USED
    return max(1, share / fleet.roster.count())


def _retry_options(settings: GatewaySettings) -> FleetRetryBudgetOptions:
    return FleetRetryBudgetOptions(
        settings.retries.ratio,
        settings.retries.slack,
        timedelta(seconds=settings.retries.window_s),
    )


def _gate_options(settings: GatewaySettings) -> GateOptions:
    limits = settings.configuration
    connecting = PoolOptions().connect_timeout
    return GateOptions(
        keyed_age=limits.revoke_ms * MILLISECOND - connecting - REVOKE_MARGIN,
        denial_age=limits.apply_ms * MILLISECOND * DENIAL_SHARE,
    )


def _build_edge(
    addresses: AddressSettings,
    forwarding: ForwardingDependencies,
    metrics: GatewayMetrics,
) -> EdgeServer:
    return EdgeServer(
        EdgeOptions(addresses.callers, CALLER_IDLE),
        Forwarder(forwarding),
        forwarding.dialect,
        metrics.requests,
        forwarding.clock,
    )


def _endpoint(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)
