"""
bergamotshed.gateway.parts
~~~~~~~~~~~~~~~~~~~~~~~~~~

The parts of one gateway in the groups in which they are built.
"""

__all__ = ('Gateway', 'Knowledge', 'Observed', 'Run')

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ..clock import Clock
from ..edge.info_server import InfoServer
from ..edge.server import EdgeServer
from ..forwarding.attempts import ForwardingDependencies
from ..operators.server import OperatorsServer
from ..process.metrics import Meters
from ..process.requests import RequestMetrics
from ..process.stopping import ShutdownWindow
from ..process.traffic import Traffic
from ..roster.announcer import Announcer
from ..roster.roster import Roster
from ..routers.crashes import CrashExchange
from ..routers.prompthomes import PromptHomes
from ..routers.pulse import GatewayHeartbeats
from ..routers.slothomes import SlotHomes
from ..routes.current_table import CurrentRoutingTable
from ..routing.quarantine import Quarantine
from ..store.follower import TopicFollower
from ..store.health import StoreHealth
from ..store.types import KeyedStore, Topic
from ..upstreams.registry import UpstreamRegistry
from .live import LiveSettings
from .settings import GatewaySettings

Run = Callable[[], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Knowledge:
    """What is followed in the store."""

    store: KeyedStore
    health: StoreHealth
    traffic: Traffic
    routing: CurrentRoutingTable
    registry: UpstreamRegistry
    roster: Roster
    quarantine: Quarantine
    crashes: CrashExchange
    pulse: GatewayHeartbeats
    prompts: PromptHomes
    slots: SlotHomes
    followers: dict[Topic, TopicFollower]


@dataclass(frozen=True, slots=True)
class Observed:
    """What operators see."""

    meters: Meters
    requests: RequestMetrics


@dataclass(frozen=True, slots=True)
class Gateway:
    """One wired gateway.

    :ivar tasks: endless coroutine functions
    """

    live: LiveSettings
    clock: Clock
    knowledge: Knowledge
    observed: Observed
    shared: ForwardingDependencies
    announcer: Announcer
    edge: EdgeServer
    stop: ShutdownWindow
    operators: OperatorsServer
    health: InfoServer
    directory: InfoServer
    tasks: list[Run]

    @property
    def settings(self) -> GatewaySettings:
        """Return the settings in force."""
        return self.live.current

    def is_ready(self) -> bool:
        """Return whether requests are taken."""
        return not self.unready_reason

    @property
    def unready_reason(self) -> str:
        """Return why no requests are taken; empty if they are."""
        if self.stop.is_stopping:
            return 'stopping'
        if self.knowledge.routing.table is None:
            return 'no configuration'
        if not self.shared.admission.can_admit_keyed:
            age = self.knowledge.routing.age
            return f'configuration confirmed {age:.1f} s ago'
        return ''

    def entry_addresses(self) -> list[str]:
        """Return the addresses that callers may use."""
        listed = self.knowledge.roster.entry_addresses(
            self.knowledge.pulse.is_usable, ready=self.is_ready()
        )
        return listed[: int(self.settings.directory.most)]

    def tidy(self) -> None:
        """Forget what is no longer used and take new limits."""
        self.shared.pool.sweep()
        self.knowledge.slots.release_silent_routers()
        self.shared.loads.forget_unlisted(
            list(self.knowledge.registry.instances.values())
        )
        table = self.knowledge.routing.table
        if table is not None:
            self.edge.limits = table.limits
