"""
bergamotshed.routers.placer
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Asks the home of a service partition for a place. When no home answers, the
router places by itself, under its own share of the slots and load bound.
"""

__all__ = ('HomePlacer', 'PlacerCounters')

from dataclasses import dataclass
from datetime import timedelta

from eliot import log_message

from ..clock import Clock
from ..control.types import ConfigurationInForce
from ..reasons import Reason, Refusal
from ..routing.home import HomeState
from ..routing.local import LocalPlacer
from ..routing.membership import Membership
from ..routing.types import (
    Outcome,
    Placement,
    PlacementRequest,
    Placer,
    UpstreamState,
)
from .errors import Unanswered, UnansweredReason
from .heldplacements import (
    HeldPlacement,
    HeldPlacements,
    Partition,
    PlacementSource,
)
from .homemanager import HomeManager
from .homemap import HomeMap
from .homeserver import HomeServer
from .mesh import PeerMesh
from .messages import Message, PlaceAnswer, PlaceRequest, Release, RequestEnded
from .placementcodec import (
    outcome_number,
    place_request_of,
    placement_of,
    refusal_of,
)

#: How long a home may be silent before the next way is tried.
HOME_TIMEOUT = timedelta(milliseconds=150)

#: Added to a request's deadline while its home lets it wait.
DEADLINE_GRACE = timedelta(milliseconds=250)

#: Homes that are asked for one request before this router places alone.
MAX_HOMES_ASKED = 2

#: Silences in a row that make a home suspect.
SILENCES = 3


@dataclass(slots=True)
class PlacerCounters:
    """How requests got their places, for metrics and the state dump."""

    at_home: int = 0
    by_peer: int = 0
    fallback: int = 0
    silent: int = 0
    unlisted: int = 0
    late: int = 0


class HomePlacer(Placer):
    """Places each request at the home of its service partition.

    :param node: this router's name
    :param local: the homes that this router keeps
    :param fallback: places alone when no home answers
    """

    def __init__(
        self,
        node: str,
        mesh: PeerMesh,
        view: Membership,
        local: LocalPlacer,
        fallback: LocalPlacer,
        configuration: ConfigurationInForce,
        clock: Clock,
    ) -> None:
        self._node = node
        self._mesh = mesh
        self._view = view
        self._local = local
        self._fallback = fallback
        self._clock = clock
        self._silences: dict[str, int] = {}
        self.held_placements = HeldPlacements()
        self.counters = PlacerCounters()
        self.explain = local.explain
        self.homes = HomeMap(view, configuration)
        self.home_manager = HomeManager(
            node, mesh, self.homes, local, fallback, self.held_placements, clock
        )
        HomeServer(mesh, self.homes, local, self.home_manager)
        mesh.on_late(PlaceRequest, self._take_late)

    def home_states(self) -> tuple[HomeState, ...]:
        """Return the state of each home that this router keeps."""
        return self._local.states()

    async def place(self, request: PlacementRequest) -> Placement | Refusal:
        """Reserve a place, waiting at most until the deadline."""
        partition = self.homes.partition(request)
        if partition is None:
            return Refusal(Reason.UNKNOWN_SERVICE, detail=request.service)
        until = self._clock.monotonic() + request.deadline.total_seconds()
        decided = await self._place_by_home(partition, request, until)
        while decided is None and request.suspect:
            # Placed alone, it could meet another suspect on an upstream.
            if self._clock.monotonic() >= until:
                return Refusal(Reason.DEADLINE, HOME_TIMEOUT, 'no home')
            await self._clock.sleep(HOME_TIMEOUT)
            decided = await self._place_by_home(partition, request, until)
        return decided or await self._place_alone(partition, request)

    def release(
        self,
        request: PlacementRequest,
        placement: Placement,
        outcome: Outcome,
        cached: int = 0,
    ) -> None:
        """Give the place back.

        :param cached: history tokens that the upstream served from cache
        """
        holding = self.held_placements.remove(placement)
        if holding is None:
            return
        if holding.source is PlacementSource.FALLBACK:
            self._fallback.release(request, placement, outcome, cached)
        self._tell_homes(holding, request, outcome, cached)

    async def _place_by_home(
        self, partition: Partition, request: PlacementRequest, until: float
    ) -> Placement | Refusal | None:
        tried: set[str] = set()
        while len(tried) < MAX_HOMES_ASKED:
            home = self.homes.home_of(partition)
            if home == self._node:
                return await self._place_at_home(partition, request)
            if home is None or home in tried:
                break
            tried.add(home)
            left = timedelta(seconds=until - self._clock.monotonic())
            decided = await self._ask(home, partition, request, left)
            if decided is not None:
                return decided
        return None

    async def _place_at_home(
        self, partition: Partition, request: PlacementRequest
    ) -> Placement | Refusal:
        await self.home_manager.wait_until_ready(partition)
        decided = await self._local.place(request)
        self.counters.at_home += 1
        return self._enter(partition, decided, PlacementSource.HOME)

    async def _place_alone(
        self, partition: Partition, request: PlacementRequest
    ) -> Placement | Refusal:
        self.counters.fallback += 1
        log_message(
            'placement.fallback',
            request=request.request,
            service=request.service,
        )
        others = self.held_placements.counts_not_granted_by(
            partition, PlacementSource.FALLBACK
        )
        self._fallback.adopt(*partition, others)
        decided = await self._fallback.place(request)
        return self._enter(partition, decided, PlacementSource.FALLBACK)

    async def _ask(
        self,
        home: str,
        partition: Partition,
        request: PlacementRequest,
        left: timedelta,
    ) -> Placement | Refusal | None:
        if home not in self._mesh.pool:
            self._mesh.set_peers(self._view.routers())
        answer = await self._mesh.ask(
            home,
            place_request_of(request, self._unusable(request.service), left),
            HOME_TIMEOUT,
            left + DEADLINE_GRACE,
        )
        if not isinstance(answer, PlaceAnswer):
            self._note_silence(home, answer)
            return None
        self._silences.pop(home, None)
        if answer.reason:
            return refusal_of(answer)
        placement = placement_of(
            answer, home, self._view.upstreams(request.service)
        )
        if placement is None:
            self.counters.unlisted += 1
            self._return_unused(home, answer)
            return None
        self.counters.by_peer += 1
        upstream = placement.upstream.name
        self.home_manager.memory_transfer.record_chat(
            partition, request, upstream
        )
        return self._enter(partition, placement, PlacementSource.PEER)

    def _enter(
        self,
        partition: Partition,
        decided: Placement | Refusal,
        source: PlacementSource,
    ) -> Placement | Refusal:
        if isinstance(decided, Placement):
            self.held_placements.add(HeldPlacement(partition, decided, source))
        return decided

    def _unusable(self, service: str) -> frozenset[str]:
        """Return the upstreams that this router can't reach, unless none
        would be left.
        """
        listed = self._view.upstreams(service)
        suspects = frozenset(
            upstream.name
            for upstream in listed
            if upstream.state is UpstreamState.SUSPECT
        )
        return suspects if len(suspects) < len(listed) else frozenset()

    def _note_silence(self, home: str, answer: object) -> None:
        self.counters.silent += 1
        silences = self._silences.get(home, 0) + 1
        self._silences[home] = silences
        gone = (
            isinstance(answer, Unanswered)
            and answer.reason is UnansweredReason.UNREACHABLE
        )
        if gone or silences >= SILENCES:
            self._silences.pop(home)
            self._view.mark_suspect(home)

    def _tell_homes(
        self,
        holding: HeldPlacement,
        request: PlacementRequest,
        outcome: Outcome,
        cached: int,
    ) -> None:
        """Tell the router that granted the place and the present home."""
        placement = holding.placement
        number = outcome_number(outcome)
        if holding.source is PlacementSource.PEER:
            release = Release(placement.grant, number, cached)
            self._mesh.send(placement.home, release)
        home = self.homes.home_of(holding.partition)
        if self._node in {home, placement.home}:
            self._release_here(holding, request, outcome, cached)
        if (
            home == placement.home
            and holding.source is not PlacementSource.FALLBACK
        ):
            return
        if home is not None and home != self._node:
            ended = RequestEnded(
                *holding.partition,
                request.chat,
                placement.upstream.name,
                number,
                cached,
            )
            self._mesh.send(home, ended)
        self.home_manager.send_counts(holding.partition)

    def _release_here(
        self,
        holding: HeldPlacement,
        request: PlacementRequest,
        outcome: Outcome,
        cached: int,
    ) -> None:
        if self.home_manager.has_home(holding.partition):
            self._local.release(request, holding.placement, outcome, cached)

    def _return_unused(self, home: str, answer: PlaceAnswer) -> None:
        number = outcome_number(Outcome.CANCELLED)
        self._mesh.send(home, Release(answer.grant, number))

    def _take_late(
        self, peer: str, question: PlaceRequest, answer: Message
    ) -> None:
        """Return a place that was granted when nobody waited any more."""
        if isinstance(answer, PlaceAnswer) and not answer.reason:
            self.counters.late += 1
            self._return_unused(peer, answer)
