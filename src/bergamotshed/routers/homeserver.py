"""
bergamotshed.routers.homeserver
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Answers the other routers as the home of a service partition.
"""

__all__ = ('HomeServer',)

from dataclasses import dataclass

from ..reasons import Reason
from ..routing.local import LocalPlacer
from ..routing.types import Placement
from .heldplacements import Partition
from .homemanager import HomeManager
from .homemap import HomeMap
from .mesh import PeerMesh
from .messages import (
    LoadVector,
    Message,
    PlaceAnswer,
    PlaceRequest,
    Release,
    RequestEnded,
)
from .placementcodec import outcome_of, place_answer_of, placement_request_of

#: Grants whose requests are remembered until they are released; a router
#: that died releases none.
MAX_GRANTED = 100_000


@dataclass(frozen=True, slots=True)
class _Granted:
    """What a grant was given for."""

    partition: Partition
    chat: int
    upstream: str


class HomeServer:
    """Handles the messages that a home receives."""

    def __init__(
        self,
        mesh: PeerMesh,
        homes: HomeMap,
        local: LocalPlacer,
        home_manager: HomeManager,
    ) -> None:
        self._homes = homes
        self._local = local
        self._home_manager = home_manager
        self._granted: dict[tuple[str, int], _Granted] = {}
        mesh.on_question(PlaceRequest, self._answer_place)
        mesh.on_notice(LoadVector, home_manager.apply_load_vector)
        mesh.on_notice(Release, self._take_release)
        mesh.on_notice(RequestEnded, self._take_ended)

    async def _answer_place(self, peer: str, ask: PlaceRequest) -> Message:
        request = placement_request_of(ask)
        partition = self._homes.partition(request)
        if partition is None:
            reason = Reason.UNKNOWN_SERVICE.value
            return PlaceAnswer(reason=reason, detail=ask.service)
        await self._home_manager.wait_until_ready(partition)
        decided = await self._local.home(*partition).place(peer, request)
        if isinstance(decided, Placement):
            self._remember(
                (peer, decided.grant),
                _Granted(partition, request.chat, decided.upstream.name),
            )
        return place_answer_of(decided)

    def _remember(self, key: tuple[str, int], granted: _Granted) -> None:
        self._granted[key] = granted
        if len(self._granted) > MAX_GRANTED:
            self._granted.pop(next(iter(self._granted)))

    def _take_release(self, peer: str, message: Release) -> None:
        granted = self._granted.pop((peer, message.grant), None)
        if granted is not None:
            self._release(
                peer, message.grant, granted, message.outcome, message.cached
            )

    def _take_ended(self, peer: str, message: RequestEnded) -> None:
        ended = _Granted(
            (message.service, message.partition),
            message.chat,
            message.upstream,
        )
        self._release(peer, 0, ended, message.outcome, message.cached)

    def _release(
        self, peer: str, grant: int, ended: _Granted, outcome: int, cached: int
    ) -> None:
        if self._home_manager.has_home(ended.partition):
            self._local.home(*ended.partition).release(
                peer,
                grant,
                ended.chat,
                outcome_of(outcome),
                cached,
                ended.upstream,
            )
