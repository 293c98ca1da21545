"""
tools.measure.strategies
~~~~~~~~~~~~~~~~~~~~~~~~

Alternative ways for routers to place requests, built on the same placement
code.
"""

__all__ = (
    'GlobalViewStrategy',
    'HomeStrategy',
    'LocalViewStrategy',
    'PlacementStrategy',
    'SharedLoadsStrategy',
    'SimulatedFleet',
)

import random
from abc import ABC, abstractmethod
from collections import Counter

from bergamotshed.clock import ManualClock
from bergamotshed.control.types import ConfigurationInForce
from bergamotshed.fleet import Fleet, Organisation, Service
from bergamotshed.reasons import Refusal
from bergamotshed.routing import (
    Outcome,
    Placement,
    PlacementRequest,
    Upstream,
    UpstreamState,
)
from bergamotshed.routing.home import Home
from bergamotshed.routing.local import LocalPlacer
from bergamotshed.routing.memory import ChatMemory
from bergamotshed.routing.view import FleetView, RouterNode

from .workload import WorkloadSize, organisation_weights

SERVICE = 'service'
ONE_WAY_DELAY_S = 0.0005
MAX_CHATS_PER_ROUTER = 65_536


class SimulatedFleet(FleetView):
    """The fleet view that all routers of a simulation share.

    :param is_fair: the fair queue distinguishes organisations; otherwise all
        requests belong to one organisation
    """

    def __init__(
        self,
        size: WorkloadSize,
        service: Service,
        seed: int,
        *,
        is_fair: bool = True,
    ) -> None:
        self.is_fair = is_fair
        self.size = size
        self.clock = ManualClock()
        self.seed = seed
        self.configuration = ConfigurationInForce()
        shares = organisation_weights(size.organisations if is_fair else 1)
        organisations = tuple(
            Organisation(f'org-{n}', (SERVICE,), shares[n])
            for n in range(len(shares))
        )
        self.configuration.advance(0, Fleet((service,), organisations))
        self.states = {f'e{n}': UpstreamState.LIVE for n in range(size.engines)}
        self.nodes = tuple(
            RouterNode(f'r{n}', '', '', '') for n in range(size.routers)
        )
        self._upstreams: tuple[Upstream, ...] = ()
        self.refresh_upstreams()

    def refresh_upstreams(self) -> None:
        """Apply changes of ``states`` to the view."""
        self._upstreams = tuple(
            Upstream(name, SERVICE, '', '', state)
            for name, state in sorted(self.states.items())
        )

    def upstreams(self, service: str) -> tuple[Upstream, ...]:
        """Return the engines."""
        return self._upstreams

    def routers(self) -> tuple[RouterNode, ...]:
        """Return the routers."""
        return self.nodes


class PlacementStrategy(ABC):
    """How a router gets a placement; subclasses override :meth:`home`.

    :cvar name: name in the printed table
    :cvar delay_s: one-way latency to the router that decides
    :cvar tick_interval_s: seconds between ticks; 0 means none
    """

    name = ''
    delay_s: float = 0
    tick_interval_s: float = 0

    def __init__(self, fleet: SimulatedFleet) -> None:
        self.fleet = fleet

    @abstractmethod
    def home(self, router: str) -> Home:
        """Return the home that decides for a router."""

    @abstractmethod
    def homes(self) -> list[Home]:
        """Return all homes."""

    async def place(
        self, router: str, request: PlacementRequest
    ) -> Placement | Refusal:
        """Place a request that a router received."""
        return await self.home(router).place(router, request)

    def release(
        self,
        router: str,
        request: PlacementRequest,
        placement: Placement,
        cached_tokens: int,
    ) -> None:
        """Release a placement after the answer."""
        self.home(router).release(
            router,
            placement.grant,
            request.chat,
            Outcome.DONE,
            cached_tokens,
            placement.upstream.name,
        )

    def refresh(self) -> None:
        """Retry the placement of waiting requests."""
        for home in self.homes():
            home.refresh()

    def evict(self, chat: int, upstream: str) -> None:
        """Forward an engine's eviction event to the homes."""
        for home in self.homes():
            home.memory.evict(chat, upstream)

    def tick(self, in_flight: dict[str, Counter[str]]) -> None:
        """Exchange the periodic messages between routers.

        :param in_flight: requests in flight by router and engine
        """
        self.refresh()

    def _create_placer(self, number: int, share: float = 1) -> LocalPlacer:
        return LocalPlacer(
            self.fleet.configuration,
            self.fleet,
            self.fleet.clock,
            random.Random(f'{self.fleet.seed}-{number}'),
            router=f'r{number}',
            share=share,
        )


class GlobalViewStrategy(PlacementStrategy):
    """One router decides without delay and knows all requests in flight.

    This is the upper limit for the other strategies.
    """

    name = 'global view'

    def __init__(self, fleet: SimulatedFleet) -> None:
        super().__init__(fleet)
        self._home = self._create_placer(0).home(SERVICE, 0)

    def home(self, router: str) -> Home:
        """Return the only home."""
        return self._home

    def homes(self) -> list[Home]:
        """Return the only home."""
        return [self._home]


class HomeStrategy(GlobalViewStrategy):
    """The home router decides; a request reaches it by one message."""

    name = 'home'
    delay_s = ONE_WAY_DELAY_S
    tick_interval_s = 0.25

    def __init__(self, fleet: SimulatedFleet) -> None:
        super().__init__(fleet)
        self._generation = 0
        self._last_grants: Counter[str] = Counter()
        self._router_memories = {
            node.name: ChatMemory(MAX_CHATS_PER_ROUTER) for node in fleet.nodes
        }

    async def place(
        self, router: str, request: PlacementRequest
    ) -> Placement | Refusal:
        """Place at the home and record the number of the grant."""
        placement = await super().place(router, request)
        if isinstance(placement, Placement):
            self._last_grants[router] = placement.grant
            self._router_memories[router].remember(
                request.chat, placement.upstream.name, request.history
            )
        return placement

    def tick(self, in_flight: dict[str, Counter[str]]) -> None:
        """Send the home the requests that each router has in flight."""
        for router, counts in in_flight.items():
            self._home.reconcile(router, 1, self._last_grants[router], counts)

    def move_home(
        self,
        in_flight: dict[str, Counter[str]],
        *,
        send_counts: bool = False,
        hand_over_memory: bool = False,
        send_router_memories: bool = False,
    ) -> None:
        """Move the partition to a new home.

        :param send_counts: routers send it their requests in flight
        :param hand_over_memory: the old home sends it the chat memory
        :param send_router_memories: all routers but one send it the chats
            that they placed
        """
        previous_home = self._home
        self._generation += 1
        self._home = self._create_placer(self._generation).home(SERVICE, 0)
        sources = [previous_home.memory] if hand_over_memory else []
        if send_router_memories:
            sources += list(self._router_memories.values())[1:]
        for source in sources:
            for part in source.export(1000):
                self._home.memory.merge(part)
        self._last_grants.clear()
        if send_counts:
            self.tick(in_flight)


class LocalViewStrategy(PlacementStrategy):
    """Each router decides alone and counts only its own requests."""

    name = 'local view'
    divides_slots = True

    def __init__(self, fleet: SimulatedFleet) -> None:
        super().__init__(fleet)
        count = fleet.size.routers
        share = 1 / count if self.divides_slots else 1
        self._homes = {
            f'r{n}': self._create_placer(n, share).home(SERVICE, 0)
            for n in range(count)
        }

    def home(self, router: str) -> Home:
        """Return the router's own home."""
        return self._homes[router]

    def homes(self) -> list[Home]:
        """Return the homes of all routers."""
        return list(self._homes.values())


class SharedLoadsStrategy(LocalViewStrategy):
    """Each router adds the counts that the others sent at the last tick."""

    name = 'shared 250 ms'
    divides_slots = False
    tick_interval_s = 0.25

    def tick(self, in_flight: dict[str, Counter[str]]) -> None:
        """Send each router's counts to all others."""
        for router, counts in in_flight.items():
            for other, home in self._homes.items():
                if other != router:
                    home.reconcile(router, 1, 0, counts)
