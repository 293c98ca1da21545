"""
bergamotshed.routers.slothomes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reserves slots at the home of a service, and acts as the home of some services.

A service has a home if an upstream of it has fewer slots than there are
routers, or while its upstreams are brittle. For other services each router
places alone, and so it does while a home does not answer, unless the upstreams
are brittle.
"""

__all__ = ('SlotHomes',)

import random
from dataclasses import replace
from datetime import timedelta

from eliot import log_message

from ..clock import Clock
from ..reasons import Refusal
from ..routing.admission import Admission
from ..routing.brittle import BrittleUpstreams
from ..routing.cache_source import ListedUpstreams, subject_order
from ..routing.inflight import grant_series
from ..routing.slothome import SlotHome, upstream_of
from ..routing.types import (
    Outcome,
    Placement,
    PlacementRequest,
    SharedSlots,
    Upstream,
)
from ..upstreams.types import Instance
from .gatewayheartbeats import GatewayHeartbeats
from .mesh import PeerMesh
from .messages import Message, PlaceAnswer, PlaceRequest, Release
from .placementcodec import (
    outcome_number,
    outcome_of,
    place_answer_of,
    place_request_of,
    placement_of,
    placement_request_of,
    refusal_of,
)

#: How long to wait for the first reply of a home: the time after which it
#: reports that an answer takes longer, and several times the latency between
#: failure domains.
ASK_TIMEOUT = timedelta(milliseconds=40)
#: Routers that are asked in turn for slots of brittle upstreams.
FALLBACK_HOMES = 2


class SlotHomes(SharedSlots):
    """Reserves slots across routers.

    :param node: this router's name
    :param heartbeats: shows which routers are alive
    :ivar brittle: the upstreams that say that they are
    """

    def __init__(
        self,
        node: str,
        mesh: PeerMesh,
        heartbeats: GatewayHeartbeats,
        listed: ListedUpstreams,
        clock: Clock,
    ) -> None:
        self._node = node
        self._mesh = mesh
        self._heartbeats = heartbeats
        self._listed = listed
        self._clock = clock
        self._rng = random.Random()
        self._homes: dict[str, SlotHome] = {}
        self.brittle = BrittleUpstreams(clock)
        mesh.on_question(PlaceRequest, self._handle_place_request)
        mesh.on_notice(Release, self._handle_release)
        mesh.on_late_answer(PlaceRequest, self._release_late)

    @property
    def homes(self) -> dict[str, SlotHome]:
        """Return the homes on this router by service; not to be modified."""
        return self._homes

    def is_scarce(self, service: str) -> bool:
        """Return whether the slots of a service are granted by a home."""
        instances = self._listed.members(service)
        routers = len(self._heartbeats.live_routers())
        return self.tolerance_of(service) is not None or (
            bool(instances)
            and min(instance.slots for instance in instances) < routers
        )

    def record_tolerance(
        self, instance: Instance, tolerance: float | None
    ) -> None:
        """Record how many rejections in a second an upstream bears."""
        if self.brittle.record_answer(instance, tolerance):
            log_message(
                'upstream.brittle',
                upstream=instance.name,
                service=instance.service,
                tolerance=tolerance,
            )

    def tolerance_of(self, service: str) -> float | None:
        """Return how many rejections in a second its upstreams bear."""
        return self.brittle.tolerance_of(service)

    async def reserve(
        self, request: PlacementRequest
    ) -> Placement | Refusal | None:
        """Reserve a slot; ``None`` if the home does not answer.

        For brittle upstreams the next router takes the place of a home that
        does not answer.
        """
        request = _with_tolerance(request, self.brittle)
        homes = subject_order(request.service, self._heartbeats.live_routers())
        count = 1 if request.tolerance is None else FALLBACK_HOMES
        for home in homes[:count]:
            placed = await self._reserve_at(home, request)
            if placed is not None:
                return placed
        return None

    async def _reserve_at(
        self, home: str, request: PlacementRequest
    ) -> Placement | Refusal | None:
        if home == self._node:
            return await self._home_of(request.service).place(home, request)
        answer = await self._mesh.ask(
            home,
            place_request_of(request, frozenset(), request.deadline),
            ASK_TIMEOUT,
            request.patience + ASK_TIMEOUT,
        )
        if not isinstance(answer, PlaceAnswer):
            log_message(
                'slots.home_unanswered',
                request=request.request,
                service=request.service,
                home=home,
            )
            return None
        if answer.reason:
            return refusal_of(answer)
        placement = placement_of(answer, home, self._upstreams(request.service))
        if placement is None:
            self._mesh.send(
                home, _release_message(answer.grant, Outcome.REFUSED)
            )
        return placement

    def release(self, placement: Placement, outcome: Outcome) -> None:
        """Release a slot."""
        if placement.home in {'', self._node}:
            self._release_grant(self._node, placement.grant, outcome)
        else:
            self._mesh.send(
                placement.home, _release_message(placement.grant, outcome)
            )

    def release_silent_routers(self) -> None:
        """Release the slots held by routers that became silent."""
        for home in self._homes.values():
            home.release_routers(self._heartbeats.silent_routers)

    def _home_of(self, service: str) -> SlotHome:
        home = self._homes.get(service)
        if home is None:
            home = SlotHome(
                service,
                self._listed,
                Admission(self._clock, self._rng),
                self._clock,
                grant_series(self._rng),
                self._heartbeats.live_share,
            )
            self._homes[service] = home
        return home

    async def _handle_place_request(
        self, peer: str, message: PlaceRequest
    ) -> Message:
        home = self._home_of(message.service)
        request = _with_tolerance(placement_request_of(message), self.brittle)
        return place_answer_of(await home.place(peer, request))

    def _handle_release(self, peer: str, release: Release) -> None:
        self._release_grant(peer, release.grant, outcome_of(release.outcome))

    def _release_grant(self, router: str, grant: int, outcome: Outcome) -> None:
        # Each home numbers its grants in a series of its own, so that at most
        # one of them has this grant.
        for home in self._homes.values():
            home.release(
                router,
                grant,
                has_run=outcome is Outcome.DONE,
                was_rejected=outcome is Outcome.REFUSED,
            )

    def _release_late(
        self, peer: str, _message: PlaceRequest, answer: Message
    ) -> None:
        """Release a slot granted after this router stopped waiting."""
        if isinstance(answer, PlaceAnswer) and not answer.reason:
            self._mesh.send(
                peer, _release_message(answer.grant, Outcome.CANCELLED)
            )

    def _upstreams(self, service: str) -> list[Upstream]:
        return [
            upstream_of(instance) for instance in self._listed.members(service)
        ]


def _release_message(grant: int, outcome: Outcome) -> Release:
    return Release(grant, outcome_number(outcome))


def _with_tolerance(
    request: PlacementRequest, brittle: BrittleUpstreams
) -> PlacementRequest:
    """Add what this router knows if the sender does not know that the
    upstreams are brittle.
    """
    if request.tolerance is not None:
        return request
    return replace(request, tolerance=brittle.tolerance_of(request.service))
