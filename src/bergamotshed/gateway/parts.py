"""
bergamotshed.gateway.parts
~~~~~~~~~~~~~~~~~~~~~~~~~~

The parts of one gateway, in the groups in which they are built.
"""

__all__ = ('FleetParts', 'Gateway', 'GatewayMetrics', 'TaskFunction')

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ..clock import Clock
from ..edge.info_server import InfoServer
from ..edge.server import EdgeServer
from ..forwarding.dependencies import ForwardingDependencies
from ..operators.server import OperatorsServer
from ..process.metrics import Meters
from ..process.requests import RequestMetrics
from ..process.shutdown import ShutdownWindow
from ..process.traffic import Traffic
from ..roster.announcer import Announcer
from ..roster.roster import Roster
from ..routers.crashparts import CrashParts
from ..routers.gatewayheartbeats import GatewayHeartbeats
from ..routers.relayserver import RelayServer
from ..routers.sharedstate import SharedState
from ..routes.current_table import CurrentRoutingTable
from ..store.follower import TopicFollower
from ..store.health import StoreHealth
from ..store.types import KeyedStore, Topic
from ..upstreams.reach_prober import ReachProber
from ..upstreams.registry import UpstreamRegistry
from .live_settings import LiveSettings
from .settings import GatewaySettings

#: Coroutine function of a background task that runs until cancelled.
TaskFunction = Callable[[], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class FleetParts:
    """The parts that follow the store or exchange data with the peers."""

    store: KeyedStore
    store_health: StoreHealth
    traffic: Traffic
    routing: CurrentRoutingTable
    registry: UpstreamRegistry
    prober: ReachProber
    roster: Roster
    crashes: CrashParts
    heartbeats: GatewayHeartbeats
    shared: SharedState
    followers: dict[Topic, TopicFollower]


@dataclass(frozen=True, slots=True)
class GatewayMetrics:
    """The metrics that operators can read."""

    meters: Meters
    requests: RequestMetrics


@dataclass(frozen=True, slots=True)
class Gateway:
    """A gateway: all its parts, connected.

    :ivar forwarding: what every forwarded request uses
    :ivar edge: serves the callers' address
    :ivar relay: serves routers that reach no upstream
    :ivar health: serves the health address
    :ivar directory: serves the entry addresses
    :ivar tasks: coroutine functions that run until cancelled
    """

    live: LiveSettings
    clock: Clock
    fleet: FleetParts
    metrics: GatewayMetrics
    forwarding: ForwardingDependencies
    announcer: Announcer
    edge: EdgeServer
    relay: RelayServer
    shutdown: ShutdownWindow
    operators: OperatorsServer
    health: InfoServer
    directory: InfoServer
    tasks: list[TaskFunction]

    @property
    def settings(self) -> GatewaySettings:
        """Return the settings in force."""
        return self.live.current

    @property
    def in_flight(self) -> int:
        """Return the number of requests of callers and peers."""
        return self.edge.in_flight + self.relay.in_flight

    @property
    def is_answering(self) -> bool:
        """Return whether answers to callers or peers are not sent whole yet."""
        return self.edge.is_answering or self.relay.in_flight > 0

    def is_ready(self) -> bool:
        """Return whether requests are accepted."""
        return not self.unready_reason

    @property
    def unready_reason(self) -> str:
        """Return why no requests are accepted; empty if they are."""
        if self.shutdown.is_stopping:
            return 'stopping'
        if self.fleet.routing.table is None:
            return 'no configuration'
        if self.fleet.routing.is_outdated:
            return 'the store lost the newest configuration'
        if not self.forwarding.admission.can_admit_keyed:
            age = self.fleet.routing.age
            return f'configuration confirmed {age:.1f} s ago'
        return ''

    async def learn_newest_version(self) -> None:
        """Find out at the start whether the store lost a version.

        A router that starts with an older version than the others would accept
        keys that were revoked.
        """
        await self.fleet.heartbeats.ask_versions()
        if self.fleet.routing.has_heard_newer:
            await self.fleet.followers[Topic.CONFIGURATION].confirm()

    async def learn_limits(self) -> None:
        """Ask peers for the limits of upstreams, which this router would
        exceed until it has heard them itself.
        """
        await self.fleet.shared.rates.fetch()

    def entry_addresses(self) -> list[str]:
        """Return the addresses where callers may connect."""
        addresses = self.fleet.roster.entry_addresses(
            self.fleet.heartbeats.is_usable, is_ready=self.is_ready()
        )
        return addresses[: int(self.settings.directory.most)]

    def run_maintenance(self) -> None:
        """Drop unused connections and counters and apply new limits."""
        self.forwarding.pool.sweep()
        self.forwarding.pool.reach.forget_unlisted(
            self.fleet.registry.instances.values()
        )
        self.fleet.shared.slots.release_silent_routers()
        self.fleet.shared.loads.release_silent_routers()
        instances = list(self.fleet.registry.instances.values())
        self.forwarding.loads.forget_unlisted(instances)
        listed = {instance.incarnation for instance in instances}
        self.fleet.shared.rates.known.forget_unlisted(listed)
        self.fleet.shared.slots.brittle.forget_unlisted(listed)
        table = self.fleet.routing.table
        if table is not None:
            self.edge.limits = table.limits
