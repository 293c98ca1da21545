"""
bergamotshed.routers.placer
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Asks the home of a service partition to place a request. When no home answers,
the router places it alone, within its own share of the slots and of the load
bound.
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
from .errors import NoAnswer, NoAnswerReason
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

#: How long to wait for the first reply of a home before the next one is asked
#: or the router places alone.
HOME_TIMEOUT = timedelta(milliseconds=150)

#: How long beyond a request's deadline this router waits for the answer of a
#: home at which the request waits.
DEADLINE_GRACE = timedelta(milliseconds=250)

#: Maximum number of homes that are asked for one request before this router
#: places alone.
MAX_HOMES_ASKED = 2

#: Unanswered questions in a row after which a home becomes suspect.
MAX_UNANSWERED_IN_A_ROW = 3


@dataclass(slots=True)
class PlacerCounters:
    """How requests were placed, for metrics and the state dump.

    :ivar at_home: decided here, as the home
    :ivar by_peer: placed by a home on another router
    :ivar fallback: decided here, as no home answered
    :ivar silent: questions that a home did not answer
    :ivar unlisted: placements on upstreams that this router does not know
    :ivar late: placements granted after this router stopped waiting
    """

    at_home: int = 0
    by_peer: int = 0
    fallback: int = 0
    silent: int = 0
    unlisted: int = 0
    late: int = 0


class HomePlacer(Placer):
    """Places each request at the home of its service partition.

    :param node: this router's name
    :param local: the homes on this router
    :param fallback: places requests when no home answers
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
        self._unanswered_in_a_row: dict[str, int] = {}
        self.held_placements = HeldPlacements()
        self.counters = PlacerCounters()
        self.explain = local.explain
        self.homes = HomeMap(view, configuration)
        self.home_manager = HomeManager(
            node, mesh, self.homes, local, fallback, self.held_placements, clock
        )
        HomeServer(mesh, self.homes, local, self.home_manager)
        mesh.on_late_answer(PlaceRequest, self._release_late)

    def home_states(self) -> tuple[HomeState, ...]:
        """Return the state of each home on this router."""
        return self._local.states()

    async def place(self, request: PlacementRequest) -> Placement | Refusal:
        """Reserve a slot, waiting at most until the deadline."""
        partition = self.homes.partition_of(request)
        if partition is None:
            return Refusal(Reason.UNKNOWN_SERVICE, detail=request.service)
        deadline = self._clock.monotonic() + request.deadline.total_seconds()
        result = await self._place_by_home(partition, request, deadline)
        while result is None and request.suspect:
            # Placed alone, it could share an upstream with another suspect.
            if self._clock.monotonic() >= deadline:
                return Refusal(
                    Reason.DEADLINE,
                    HOME_TIMEOUT,
                    'no home',
                )
            await self._clock.sleep(HOME_TIMEOUT)
            result = await self._place_by_home(partition, request, deadline)
        return result or await self._place_alone(partition, request)

    def release(
        self,
        request: PlacementRequest,
        placement: Placement,
        outcome: Outcome,
        cached: int = 0,
    ) -> None:
        """Release a placement.

        :param cached: history tokens that the upstream served from cache
        """
        held = self.held_placements.remove(placement)
        if held is None:
            return
        if held.source is PlacementSource.FALLBACK:
            self._fallback.release(request, placement, outcome, cached)
        self._notify_homes(held, request, outcome, cached)

    async def _place_by_home(
        self, partition: Partition, request: PlacementRequest, deadline: float
    ) -> Placement | Refusal | None:
        tried: set[str] = set()
        while len(tried) < MAX_HOMES_ASKED:
            home = self.homes.home_of(partition)
            if home == self._node:
                return await self._place_at_home(partition, request)
            if home is None or home in tried:
                break
            tried.add(home)
            remaining = timedelta(seconds=deadline - self._clock.monotonic())
            result = await self._ask_home(home, partition, request, remaining)
            if result is not None:
                return result
        return None

    async def _place_at_home(
        self, partition: Partition, request: PlacementRequest
    ) -> Placement | Refusal:
        await self.home_manager.wait_until_ready(partition)
        result = await self._local.place(request)
        self.counters.at_home += 1
        return self._record_held(partition, result, PlacementSource.HOME)

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
        result = await self._fallback.place(request)
        return self._record_held(partition, result, PlacementSource.FALLBACK)

    async def _ask_home(
        self,
        home: str,
        partition: Partition,
        request: PlacementRequest,
        remaining: timedelta,
    ) -> Placement | Refusal | None:
        if home not in self._mesh.pool:
            self._mesh.set_peers(self._view.routers())
        answer = await self._mesh.ask(
            home,
            place_request_of(
                request, self._unusable_upstreams(request.service), remaining
            ),
            HOME_TIMEOUT,
            remaining + DEADLINE_GRACE,
        )
        if not isinstance(answer, PlaceAnswer):
            self._record_no_answer(home, answer)
            return None
        self._unanswered_in_a_row.pop(home, None)
        if answer.reason:
            return refusal_of(answer)
        placement = placement_of(
            answer, home, self._view.upstreams(request.service)
        )
        if placement is None:
            self.counters.unlisted += 1
            self._release_unused(home, answer)
            return None
        self.counters.by_peer += 1
        upstream = placement.upstream.name
        self.home_manager.memory_transfer.record_chat(
            partition, request, upstream
        )
        return self._record_held(partition, placement, PlacementSource.PEER)

    def _record_held(
        self,
        partition: Partition,
        result: Placement | Refusal,
        source: PlacementSource,
    ) -> Placement | Refusal:
        if isinstance(result, Placement):
            self.held_placements.add(HeldPlacement(partition, result, source))
        return result

    def _unusable_upstreams(self, service: str) -> frozenset[str]:
        """Return the upstreams that this router can't reach, unless it can
        reach none.
        """
        upstreams = self._view.upstreams(service)
        suspects = frozenset(
            upstream.name
            for upstream in upstreams
            if upstream.state is UpstreamState.SUSPECT
        )
        return suspects if len(suspects) < len(upstreams) else frozenset()

    def _record_no_answer(self, home: str, answer: object) -> None:
        self.counters.silent += 1
        unanswered = self._unanswered_in_a_row.get(home, 0) + 1
        self._unanswered_in_a_row[home] = unanswered
        is_unreachable = (
            isinstance(answer, NoAnswer)
            and answer.reason is NoAnswerReason.UNREACHABLE
        )
        if is_unreachable or unanswered >= MAX_UNANSWERED_IN_A_ROW:
            self._unanswered_in_a_row.pop(home)
            self._view.mark_suspect(home)

    def _notify_homes(
        self,
        held: HeldPlacement,
        request: PlacementRequest,
        outcome: Outcome,
        cached: int,
    ) -> None:
        """Notify the home that granted the placement and the present home."""
        placement = held.placement
        number = outcome_number(outcome)
        if held.source is PlacementSource.PEER:
            release = Release(placement.grant, number, cached)
            self._mesh.send(placement.home, release)
        home = self.homes.home_of(held.partition)
        if self._node in {home, placement.home}:
            self._release_here(held, request, outcome, cached)
        if (
            home == placement.home
            and held.source is not PlacementSource.FALLBACK
        ):
            return
        if home is not None and home != self._node:
            ended = RequestEnded(
                *held.partition,
                request.chat,
                placement.upstream.name,
                number,
                cached,
            )
            self._mesh.send(home, ended)
        self.home_manager.send_counts(held.partition)

    def _release_here(
        self,
        held: HeldPlacement,
        request: PlacementRequest,
        outcome: Outcome,
        cached: int,
    ) -> None:
        if self.home_manager.has_home(held.partition):
            self._local.release(request, held.placement, outcome, cached)

    def _release_unused(self, home: str, answer: PlaceAnswer) -> None:
        number = outcome_number(Outcome.CANCELLED)
        self._mesh.send(home, Release(answer.grant, number))

    def _release_late(
        self, peer: str, question: PlaceRequest, answer: Message
    ) -> None:
        """Release a placement granted after this router stopped waiting."""
        if isinstance(answer, PlaceAnswer) and not answer.reason:
            self.counters.late += 1
            self._release_unused(peer, answer)
