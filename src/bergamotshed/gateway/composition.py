"""
bergamotshed.gateway.composition
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The composition root of the gateway: builds every part from the settings and
connects the parts. Nothing is started here.
"""

__all__ = ('build_gateway',)

from collections.abc import Iterable
from datetime import timedelta
from functools import partial

from aiohttp import ClientSession

from ..clock import Clock
from ..edge.info_server import EntryAddressesPage, HealthPage, InfoServer
from ..edge.server import EdgeOptions, EdgeServer
from ..forwarding.dependencies import ForwardingDependencies
from ..forwarding.forwarder import Forwarder
from ..intake.intake import Intake
from ..operators.server import OperatorsServer
from ..platform.configuration import PlatformRoutingDataDecoder
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
from ..routers.relayserver import RelayServer
from ..routers.sharedstate import build_shared_state
from ..routers.storerelay import StoreRelay
from ..routers.suspectstore import SuspectStore
from ..routers.withdrawnnotices import hear_withdrawn, withdrawn_keys
from ..routes.current_table import CurrentRoutingTable
from ..routes.table import RoutingTable
from ..routing.upstream_loads import UpstreamLoads
from ..store.health import StoreHealth
from ..store.types import Topic
from ..upstreams.pool import ConnectionPool, PoolOptions
from ..upstreams.reach_prober import ReachProber
from ..upstreams.registry import UpstreamRegistry
from ..upstreams.version_store import VersionStore
from .followers import build_followers, relayed_ages, topic_consumers
from .forwarding_parts import admission_options, build_forwarding
from .heartbeat import HeartbeatBuilder
from .inspection import health_report, register_inspection
from .live_settings import LiveSettings
from .parts import FleetParts, Gateway, GatewayMetrics
from .return_spread import ReturnSpread
from .settings import AddressSettings, GatewaySettings

#: How long an idle connection of a caller is kept; well above any limit that
#: operators set for callers.
CALLER_IDLE_TIMEOUT = timedelta(seconds=120)
#: Number of crashes after which a request is not run again (the platform
#: allows three), and how long a crash counts.
MAX_CRASHES = 3
CRASH_RETENTION = timedelta(minutes=2)


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
    metrics = _build_metrics(settings)
    intake = Intake.of_machine(settings.limits.memory_mb, clock)
    forwarding = build_forwarding(live, clock, fleet, shutdown, session)
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
        relay=RelayServer(
            settings.addresses.relay,
            Forwarder(forwarding).forward_for_peer,
            clock,
            intake,
        ),
        announcer=announcer,
        edge=_build_edge(settings.addresses, forwarding, metrics, intake),
        shutdown=shutdown,
        health=InfoServer(
            settings.addresses.health,
            {'/v1/health': HealthPage(lambda: gateway.is_ready())},
            intake,
        ),
        directory=InfoServer(
            settings.addresses.directory,
            {
                '/v1/entries': EntryAddressesPage(
                    lambda: gateway.entry_addresses(),
                    lambda: gateway.settings.directory.lifetime_s,
                )
            },
            intake,
        ),
        operators=OperatorsServer(
            *_host_and_port(settings.addresses.operators),
            lambda: health_report(gateway),
            journal,
            intake,
            metrics.meters.exposition,
        ),
        tasks=[
            *(follower.run for follower in fleet.followers.values()),
            fleet.heartbeats.run,
            fleet.crashes.exchange.run,
            fleet.prober.run,
            SuspectStore(
                fleet.store,
                fleet.crashes.quarantine.parts,
                fleet.crashes.is_home,
                clock,
            ).run,
            VersionStore(
                fleet.store,
                fleet.registry.versions,
                fleet.followers[Topic.UPSTREAMS].listed.wait,
                fleet.crashes.is_home,
                fleet.store_health,
                clock,
                is_first_start=settings.node.first_start,
            ).run,
            live.run,
            shutdown.run,
            forwarding.crashes.unproven.run,
        ],
    )
    register_inspection(gateway)
    return gateway


def _build_metrics(settings: GatewaySettings) -> GatewayMetrics:
    meters = Meters(settings.node.name)
    return GatewayMetrics(meters, RequestMetrics(meters))


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
    prober = ReachProber(
        registry,
        ConnectionPool(PoolOptions(), clock),
        lambda: _services(routing.table),
        clock,
    )
    heartbeats = GatewayHeartbeats(
        _build_mesh(entry, clock, traffic),
        entry.name,
        roster.routers,
        HeartbeatBuilder(
            admission_options(settings).max_keyed_age,
            routing,
            shutdown,
            lambda: prober.lost_services,
            lambda: heartbeats.loads.own,
            lambda: withdrawn_keys(registry),
        ).build,
        routing.hear_version,
        UpstreamLoads(clock),
        clock,
    )
    heartbeats.listeners.append(partial(hear_withdrawn, registry))
    notices = ConfirmedNotices(entry.name, heartbeats.mesh, roster, clock)
    return FleetParts(
        store=store,
        store_health=health,
        traffic=traffic,
        routing=routing,
        registry=registry,
        prober=prober,
        roster=roster,
        crashes=build_crash_parts(
            entry.name,
            heartbeats.mesh,
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
                heartbeats.mesh,
                lambda: _live_in_domain(entry, roster, heartbeats),
                clock,
                relayed_ages(settings),
            ),
            health,
            clock,
            ReturnSpread(settings.store, roster.count),
        ),
    )


def _services(table: RoutingTable | None) -> Iterable[str]:
    return () if table is None else table.services


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
        relay=settings.addresses.relay,
        started=int(clock.now().timestamp() * 1000),
    )


def _build_edge(
    addresses: AddressSettings,
    forwarding: ForwardingDependencies,
    metrics: GatewayMetrics,
    intake: Intake,
) -> EdgeServer:
    return EdgeServer(
        EdgeOptions(addresses.callers, CALLER_IDLE_TIMEOUT),
        Forwarder(forwarding),
        forwarding.dialect,
        metrics.requests,
        forwarding.clock,
        intake,
    )


def _host_and_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)
