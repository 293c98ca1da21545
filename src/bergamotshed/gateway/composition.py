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
from ..routes.current_table import CurrentRoutingTable
from ..routing.affinity import AffinityPlacer
from ..routing.cache_source import CacheSources
from ..routing.fleet_retry_budget import (
    FleetRetryBudget,
    FleetRetryBudgetOptions,
)
from ..routing.quarantine import Quarantine
from ..routing.upstream_loads import UpstreamLoads
from ..store.follower import FollowerOptions, TopicFollower
from ..store.health import StoreHealth
from ..store.types import KeyedStore, Topic, TopicConsumer
from ..upstreams.pool import ConnectionPool, PoolOptions
from ..upstreams.registry import UpstreamRegistry
from .condition import Condition
from .inspection import health_of, inspect_gateway
from .live import LiveSettings
from .parts import Gateway, Knowledge, Observed
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
    stop = ShutdownWindow(
        lambda: timedelta(seconds=live.current.node.grace_s), clock
    )
    knowledge = _learn(settings, clock, entry, stop, session)
    meters = Meters(settings.node.name)
    observed = Observed(meters, RequestMetrics(meters))
    shared = _share(live, clock, knowledge, stop)
    gateway = Gateway(
        live=live,
        clock=clock,
        knowledge=knowledge,
        observed=observed,
        shared=shared,
        announcer=Announcer(knowledge.store, entry, clock),
        edge=_build_edge(settings.addresses, shared, observed),
        stop=stop,
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
            lambda: health_of(gateway),
            journal,
            meters.exposition,
        ),
        tasks=[
            *(follower.run for follower in knowledge.followers.values()),
            knowledge.pulse.run,
            knowledge.crashes.run,
            live.run,
        ],
    )
    inspect_gateway(gateway)
    return gateway


def _learn(
    settings: GatewaySettings,
    clock: Clock,
    entry: RosterEntry,
    stop: ShutdownWindow,
    session: ClientSession,
) -> Knowledge:
    health = StoreHealth(clock)
    store = PlatformStore(settings.store.address, session)
    routing = CurrentRoutingTable(PlatformRoutingDataDecoder(), clock)
    registry = UpstreamRegistry(PlatformInstanceDecoder(), health, clock)
    roster = Roster(entry)
    traffic = Traffic(clock)
    mesh = _build_mesh(entry, clock, traffic)
    quarantine = Quarantine(clock, CRASHES_TOLERATED, CRASH_MEMORY)
    pulse = GatewayHeartbeats(
        mesh,
        entry.name,
        roster.routers,
        Condition(
            _admission_options(settings).max_keyed_age, routing, stop
        ).beat,
        clock,
    )
    return Knowledge(
        store=store,
        health=health,
        traffic=traffic,
        routing=routing,
        registry=registry,
        roster=roster,
        quarantine=quarantine,
        crashes=CrashExchange(entry.name, mesh, roster, quarantine, clock),
        pulse=pulse,
        prompts=PromptHomes(entry.name, mesh, pulse.live_routers, clock),
        slots=SlotHomes(entry.name, mesh, pulse, registry, clock),
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
    knowledge: Knowledge,
    stop: ShutdownWindow,
) -> ForwardingDependencies:
    rng = random.Random()
    loads = UpstreamLoads(clock)
    pool = ConnectionPool(PoolOptions(), clock)
    return ForwardingDependencies(
        admission=RequestAdmission(
            lambda: _admission_options(live.current),
            knowledge.routing,
            stop,
            knowledge.followers[Topic.CONFIGURATION].confirm,
            knowledge.pulse.has_ready_peer,
            rng.random,
        ),
        crashes=CrashDetector(knowledge.quarantine, pool, clock),
        registry=knowledge.registry,
        placer=AffinityPlacer(
            knowledge.registry,
            loads,
            CacheSources(knowledge.registry, loads, knowledge.prompts.memory),
            lambda service: _most_in_flight(knowledge, service),
            live.current.node.domain,
            rng.random,
        ),
        loads=loads,
        prompts=knowledge.prompts,
        slots=knowledge.slots,
        retries=FleetRetryBudget(
            lambda: _retry_options(live.current),
            knowledge.roster.count,
            clock,
        ),
        pool=pool,
        dialect=PlatformDialect(),
        clock=clock,
    )


def _most_in_flight(knowledge: Knowledge, service: str) -> float:
    """Return this router's part of the connections of one upstream."""
    table = knowledge.routing.table
    known = None if table is None else table.services.get(service)
    if known is None or not known.max_connections:
        return math.inf
    share = known.max_connections * CONNECTIONS_USED
    return max(1, share / knowledge.roster.count())


def _retry_options(settings: GatewaySettings) -> FleetRetryBudgetOptions:
    return FleetRetryBudgetOptions(
        settings.retries.ratio,
        settings.retries.slack,
        timedelta(seconds=settings.retries.window_s),
    )


def _admission_options(settings: GatewaySettings) -> AdmissionOptions:
    limits = settings.configuration
    connecting = PoolOptions().connect_timeout
    return AdmissionOptions(
        max_keyed_age=limits.revoke_ms * MILLISECOND
        - connecting
        - REVOKE_MARGIN,
        max_denial_age=limits.apply_ms * MILLISECOND * DENIAL_SHARE,
    )


def _build_edge(
    addresses: AddressSettings,
    shared: ForwardingDependencies,
    observed: Observed,
) -> EdgeServer:
    return EdgeServer(
        EdgeOptions(addresses.callers, CALLER_IDLE),
        Forwarder(shared),
        shared.dialect,
        observed.requests,
        shared.clock,
    )


def _endpoint(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)
