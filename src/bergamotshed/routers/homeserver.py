"""
bergamotshed.routers.homeserver
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Answers other routers on behalf of the homes that this router manages.
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

#: Maximum number of grants whose requests are stored until their release; a
#: router that crashed never releases its grants.
MAX_GRANTED_REQUESTS = 100_000


@dataclass(frozen=True, slots=True)
class _GrantedRequest:
    """The request for which a grant was given."""

    partition: Partition
    chat: int
    upstream: str


class HomeServer:
    """Handles the messages that other routers send to a home."""

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
        self._granted_requests: dict[tuple[str, int], _GrantedRequest] = {}
        mesh.on_question(PlaceRequest, self._handle_place_request)
        mesh.on_notice(LoadVector, home_manager.apply_load_vector)
        mesh.on_notice(Release, self._handle_release)
        mesh.on_notice(RequestEnded, self._handle_request_ended)

    async def _handle_place_request(
        self, peer: str, message: PlaceRequest
    ) -> Message:
        request = placement_request_of(message)
        partition = self._homes.partition_of(request)
        if partition is None:
            reason = Reason.UNKNOWN_SERVICE.value
            return PlaceAnswer(reason=reason, detail=message.service)
        await self._home_manager.wait_until_ready(partition)
        result = await self._local.home(*partition).place(peer, request)
        if isinstance(result, Placement):
            self._store_granted(
                (peer, result.grant),
                _GrantedRequest(partition, request.chat, result.upstream.name),
            )
        return place_answer_of(result)

    def _store_granted(
        self, key: tuple[str, int], granted: _GrantedRequest
    ) -> None:
        self._granted_requests[key] = granted
        if len(self._granted_requests) > MAX_GRANTED_REQUESTS:
            self._granted_requests.pop(next(iter(self._granted_requests)))

    def _handle_release(self, peer: str, message: Release) -> None:
        granted = self._granted_requests.pop((peer, message.grant), None)
        if granted is not None:
            self._release(
                peer, message.grant, granted, message.outcome, message.cached
            )

    def _handle_request_ended(self, peer: str, message: RequestEnded) -> None:
        request = _GrantedRequest(
            (message.service, message.partition),
            message.chat,
            message.upstream,
        )
        self._release(peer, 0, request, message.outcome, message.cached)

    def _release(
        self,
        peer: str,
        grant: int,
        request: _GrantedRequest,
        outcome: int,
        cached: int,
    ) -> None:
        if self._home_manager.has_home(request.partition):
            self._local.home(*request.partition).release(
                peer,
                grant,
                request.chat,
                outcome_of(outcome),
                cached,
                request.upstream,
            )
