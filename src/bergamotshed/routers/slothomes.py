"""
bergamotshed.routers.slothomes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Asks the home of a service for a slot, and is the home of some.

A service has a home where its upstreams have fewer slots than there are
routers; elsewhere, and while a home does not answer, routers place alone.
"""

__all__ = ('SlotHomes',)

import random
from datetime import timedelta

from eliot import log_message

from ..clock import Clock
from ..reasons import Refusal
from ..routing.admission import Admission
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
from .mesh import PeerMesh
from .messages import Message, PlaceAnswer, PlaceAsk, Release
from .placement import (
    answer_of,
    ask_of,
    outcome_number,
    outcome_of,
    placement_of,
    refused_of,
    request_of,
)
from .pulse import GatewayHeartbeats

#: How long a home may take for a sign: the time after which it tells that an
#: answer takes longer, and several times the way between domains.
ASK_TIMEOUT = timedelta(milliseconds=40)


class SlotHomes(SharedSlots):
    """Reserves slots across routers.

    :param node: this router's name
    :param pulse: knows which routers live
    """

    def __init__(
        self,
        node: str,
        mesh: PeerMesh,
        pulse: GatewayHeartbeats,
        listed: ListedUpstreams,
        clock: Clock,
    ) -> None:
        self._node = node
        self._mesh = mesh
        self._pulse = pulse
        self._listed = listed
        self._clock = clock
        self._rng = random.Random()
        self._homes: dict[str, SlotHome] = {}
        mesh.on_question(PlaceAsk, self._answer)
        mesh.on_notice(Release, self._take_release)
        mesh.on_late(PlaceAsk, self._return_late)

    @property
    def homes(self) -> dict[str, SlotHome]:
        """Return the homes on this router by service; not to be changed."""
        return self._homes

    def is_scarce(self, service: str) -> bool:
        """Tell whether the slots of a service are shared out by a home."""
        members = self._listed.members(service)
        routers = len(self._pulse.live_routers())
        return bool(members) and min(one.slots for one in members) < routers

    async def reserve(
        self, request: PlacementRequest
    ) -> Placement | Refusal | None:
        """Ask for a slot; ``None`` if no home answers."""
        home = subject_order(request.service, self._pulse.live_routers())[0]
        if home == self._node:
            return await self._home(request.service).place(home, request)
        answer = await self._mesh.ask(
            home,
            ask_of(request, frozenset(), request.deadline),
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
            return refused_of(answer)
        placed = placement_of(answer, home, self._upstreams(request.service))
        if placed is None:
            self._mesh.send(home, _release(answer.grant, Outcome.REFUSED))
        return placed

    def release(self, placed: Placement, outcome: Outcome) -> None:
        """Give a slot back."""
        if placed.home in {'', self._node}:
            self._release(self._node, placed.grant, outcome)
        else:
            self._mesh.send(placed.home, _release(placed.grant, outcome))

    def tidy(self) -> None:
        """Give back what routers hold that are not heard any more."""
        for home in self._homes.values():
            home.release_routers(self._pulse.silent_routers)

    def _home(self, service: str) -> SlotHome:
        home = self._homes.get(service)
        if home is None:
            home = SlotHome(
                service,
                self._listed,
                Admission(self._clock, self._rng),
                self._clock,
                grant_series(self._rng),
            )
            self._homes[service] = home
        return home

    async def _answer(self, peer: str, ask: PlaceAsk) -> Message:
        home = self._home(ask.service)
        return answer_of(await home.place(peer, request_of(ask)))

    def _take_release(self, peer: str, release: Release) -> None:
        self._release(peer, release.grant, outcome_of(release.outcome))

    def _release(self, router: str, grant: int, outcome: Outcome) -> None:
        # Grants of different homes are numbered in series of their own.
        for home in self._homes.values():
            home.release(router, grant, has_run=outcome is Outcome.DONE)

    def _return_late(self, peer: str, _ask: PlaceAsk, answer: Message) -> None:
        """Give back a slot for which nobody waits any more."""
        if isinstance(answer, PlaceAnswer) and not answer.reason:
            self._mesh.send(peer, _release(answer.grant, Outcome.CANCELLED))

    def _upstreams(self, service: str) -> list[Upstream]:
        return [upstream_of(one) for one in self._listed.members(service)]


def _release(grant: int, outcome: Outcome) -> Release:
    return Release(grant, outcome_number(outcome))
