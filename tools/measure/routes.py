"""
tools.measure.routes
~~~~~~~~~~~~~~~~~~~~

The ways in which routers could come to a placement, over the same code.
"""

__all__ = (
    'AllSeeing',
    'HomeRoute',
    'LocalView',
    'Route',
    'SharedVectors',
    'World',
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

from .workload import Sizes, size_weights

SERVICE = 'service'
ONE_WAY_S = 0.0005
ROUTER_CHATS = 65_536


class World(FleetView):
    """The fleet as all routers believe it to be.

    :param fair: organisations are told apart; otherwise all are one
    """

    def __init__(
        self, sizes: Sizes, service: Service, seed: int, *, fair: bool = True
    ) -> None:
        self.fair = fair
        self.sizes = sizes
        self.clock = ManualClock()
        self.seed = seed
        self.configuration = ConfigurationInForce()
        shares = size_weights(sizes.organisations if fair else 1)
        organisations = tuple(
            Organisation(f'org-{n}', (SERVICE,), shares[n])
            for n in range(len(shares))
        )
        self.configuration.advance(0, Fleet((service,), organisations))
        self.states = {
            f'e{n}': UpstreamState.LIVE for n in range(sizes.engines)
        }
        self.nodes = tuple(
            RouterNode(f'r{n}', '', '', '') for n in range(sizes.routers)
        )
        self._listed: tuple[Upstream, ...] = ()
        self.changed()

    def changed(self) -> None:
        """Take a change of ``states`` into the view."""
        self._listed = tuple(
            Upstream(name, SERVICE, '', '', state)
            for name, state in sorted(self.states.items())
        )

    def upstreams(self, service: str) -> tuple[Upstream, ...]:
        """Return the engines."""
        return self._listed

    def routers(self) -> tuple[RouterNode, ...]:
        """Return the routers."""
        return self.nodes


class Route(ABC):
    """How a router gets a placement; subclasses override :meth:`home`.

    :cvar name: in the table
    :cvar delay: seconds to where the decision is made, one way
    :cvar interval: seconds between ticks; 0 means none
    """

    name = ''
    delay: float = 0
    interval: float = 0

    def __init__(self, world: World) -> None:
        self.world = world

    @abstractmethod
    def home(self, router: str) -> Home:
        """Return the home that decides for a router."""

    @abstractmethod
    def homes(self) -> list[Home]:
        """Return all homes."""

    async def place(
        self, router: str, request: PlacementRequest
    ) -> Placement | Refusal:
        """Reserve a place for a request that came to a router."""
        return await self.home(router).place(router, request)

    def release(
        self,
        router: str,
        request: PlacementRequest,
        placed: Placement,
        cached: int,
    ) -> None:
        """Give a place back after an answer."""
        self.home(router).release(
            router,
            placed.grant,
            request.chat,
            Outcome.DONE,
            cached,
            placed.upstream.name,
        )

    def refresh(self) -> None:
        """Let waiting requests be looked at again."""
        for home in self.homes():
            home.refresh()

    def evicted(self, chat: int, upstream: str) -> None:
        """Pass an engine's cache event on."""
        for home in self.homes():
            home.memory.evict(chat, upstream)

    def tick(self, running: dict[str, Counter[str]]) -> None:
        """Exchange what routers tell each other now and then.

        :param running: requests in flight by router and engine
        """
        self.refresh()

    def _placer(self, number: int, share: float = 1) -> LocalPlacer:
        return LocalPlacer(
            self.world.configuration,
            self.world,
            self.world.clock,
            random.Random(f'{self.world.seed}-{number}'),
            router=f'r{number}',
            share=share,
        )


class AllSeeing(Route):
    """One router decides at once and sees everything: the ceiling."""

    name = 'all-seeing'

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self._home = self._placer(0).home(SERVICE, 0)

    def home(self, router: str) -> Home:
        """Return the only home."""
        return self._home

    def homes(self) -> list[Home]:
        """Return the only home."""
        return [self._home]


class HomeRoute(AllSeeing):
    """The home router decides, one message away."""

    name = 'home'
    delay = ONE_WAY_S
    interval = 0.25

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self._generation = 0
        self._seen: Counter[str] = Counter()
        self._memories = {
            node.name: ChatMemory(ROUTER_CHATS) for node in world.nodes
        }

    async def place(
        self, router: str, request: PlacementRequest
    ) -> Placement | Refusal:
        """Ask the home and note the grant's number."""
        placed = await super().place(router, request)
        if isinstance(placed, Placement):
            self._seen[router] = placed.grant
            self._memories[router].remember(
                request.chat, placed.upstream.name, request.history
            )
        return placed

    def tick(self, running: dict[str, Counter[str]]) -> None:
        """Repeat what each router has in flight."""
        for router, mine in running.items():
            self._home.reconcile(router, 1, self._seen[router], mine)

    def change(
        self,
        running: dict[str, Counter[str]],
        *,
        counts: bool = False,
        memory: bool = False,
        routers: bool = False,
    ) -> None:
        """Move the partition to a new home.

        :param counts: routers tell it what they have in flight
        :param memory: the old home hands its memory over
        :param routers: all but one router tell which chats they had placed
        """
        before = self._home
        self._generation += 1
        self._home = self._placer(self._generation).home(SERVICE, 0)
        sources = [before.memory] if memory else []
        if routers:
            sources += list(self._memories.values())[1:]
        for source in sources:
            for part in source.export(1000):
                self._home.memory.merge(part)
        self._seen.clear()
        if counts:
            self.tick(running)


class LocalView(Route):
    """Each router counts its own requests only."""

    name = 'local view'
    share_of_slots = True

    def __init__(self, world: World) -> None:
        super().__init__(world)
        count = world.sizes.routers
        share = 1 / count if self.share_of_slots else 1
        self._homes = {
            f'r{n}': self._placer(n, share).home(SERVICE, 0)
            for n in range(count)
        }

    def home(self, router: str) -> Home:
        """Return the router's own."""
        return self._homes[router]

    def homes(self) -> list[Home]:
        """Return every router's."""
        return list(self._homes.values())


class SharedVectors(LocalView):
    """Each router adds what the others told it a moment ago."""

    name = 'shared 250 ms'
    share_of_slots = False
    interval = 0.25

    def tick(self, running: dict[str, Counter[str]]) -> None:
        """Tell every other router one's own counts."""
        for router, counts in running.items():
            for other, home in self._homes.items():
                if other != router:
                    home.reconcile(router, 1, 0, counts)
