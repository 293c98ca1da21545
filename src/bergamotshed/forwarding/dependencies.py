"""
bergamotshed.forwarding.dependencies
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What the attempts of all requests use.
"""

__all__ = ('ForwardingDependencies',)

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ..clock import Clock
from ..routing.affinity import AffinityPlacer
from ..routing.fleet_retry_budget import FleetRetryBudget
from ..routing.prompt_readers import SharedPromptReaders
from ..routing.stream_origins import SharedStreamOrigins
from ..routing.types import SharedLoads, SharedRates, SharedSlots
from ..routing.upstream_loads import UpstreamLoads
from ..upstreams.pool import ConnectionPool
from ..upstreams.registry import UpstreamRegistry
from .crash_detector import CrashDetector
from .dialect import Dialect
from .peer_forwarder import PeerForwarder
from .request_admission import RequestAdmission
from .request_timeouts import RequestTimeouts


@dataclass(frozen=True, slots=True)
class ForwardingDependencies:
    """What the attempts of all requests use.

    :ivar confirm_upstreams: reads the list of upstreams at once; returns
        whether all changes are known
    """

    admission: RequestAdmission
    crashes: CrashDetector
    registry: UpstreamRegistry
    placer: AffinityPlacer
    loads: UpstreamLoads
    prompts: SharedPromptReaders
    origins: SharedStreamOrigins
    confirm_upstreams: Callable[[], Awaitable[bool]]
    slots: SharedSlots
    rates: SharedRates
    load_bounds: SharedLoads
    retries: FleetRetryBudget
    pool: ConnectionPool
    peers: PeerForwarder
    timeouts: RequestTimeouts
    dialect: Dialect
    clock: Clock
