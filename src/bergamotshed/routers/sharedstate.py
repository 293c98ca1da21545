"""
bergamotshed.routers.sharedstate
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What gateways share about upstreams and streams to place requests.
"""

__all__ = ('SharedState', 'build_shared_state')

from dataclasses import dataclass

from ..clock import Clock
from ..roster.roster import Roster
from ..routing.cache_source import ListedUpstreams
from .confirmednotices import ConfirmedNotices
from .gatewayheartbeats import GatewayHeartbeats
from .loadhomes import LoadHomes
from .prompthomes import PromptHomes
from .ratehomes import RateHomes
from .slothomes import SlotHomes
from .streamorigins import StreamOrigins


@dataclass(frozen=True, slots=True)
class SharedState:
    """What the routers tell and ask each other.

    :ivar prompts: which upstreams have read a prompt
    :ivar slots: slots of services that have few
    :ivar rates: limits that upstreams name
    :ivar loads: the load bound of upstreams
    :ivar origins: where each stream began
    """

    prompts: PromptHomes
    slots: SlotHomes
    rates: RateHomes
    loads: LoadHomes
    origins: StreamOrigins


def build_shared_state(
    node: str,
    heartbeats: GatewayHeartbeats,
    notices: ConfirmedNotices,
    roster: Roster,
    listed: ListedUpstreams,
    clock: Clock,
) -> SharedState:
    """Build the parts for one router and register their messages.

    :param node: this router's name
    """
    mesh = heartbeats.mesh
    live = heartbeats.live_routers
    return SharedState(
        prompts=PromptHomes(node, mesh, live, clock),
        slots=SlotHomes(node, mesh, heartbeats, listed, clock),
        rates=RateHomes(node, mesh, notices, heartbeats, clock),
        loads=LoadHomes(node, mesh, heartbeats, clock),
        origins=StreamOrigins(node, mesh, roster.routers, live, clock),
    )
