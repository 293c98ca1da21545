"""
bergamotshed.routers.loadvectors
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Sends each home the load vector of this router: its requests in flight per
upstream of the partition.
"""

__all__ = ('LoadVectors',)

from .heldplacements import HeldPlacements, Partition
from .homemap import HomeMap
from .mesh import PeerMesh
from .messages import LoadVector, LoadVectorRequest, Message

#: Rounds between two vectors to a home in a small fleet.
MIN_INTERVAL_ROUNDS = 3

#: In a large fleet the interval has one round for each group of routers of this
#: size, because a home receives the vectors of all routers.
ROUTERS_PER_ROUND = 16


class LoadVectors:
    """Sends load vectors periodically and when a home changes.

    :param node: this router's name
    """

    def __init__(
        self,
        node: str,
        mesh: PeerMesh,
        homes: HomeMap,
        held_placements: HeldPlacements,
    ) -> None:
        self._node = node
        self._mesh = mesh
        self._homes = homes
        self._held_placements = held_placements
        self._last_sent: dict[Partition, tuple[int, int]] = {}
        self._round = 0
        mesh.on_question(LoadVectorRequest, self._answer_request)

    def send_due(self) -> None:
        """Send the vectors that are due; call it once a second.

        A home learns of each placement from questions and releases. A vector
        only repairs lost messages, so after an empty one no other is sent
        until the counts change.
        """
        self._round += 1
        interval_rounds = max(
            MIN_INTERVAL_ROUNDS, self._homes.router_count // ROUTERS_PER_ROUND
        )
        for partition in self._held_placements.partitions:
            changes, last_round = self._last_sent.get(
                partition, (-1, -interval_rounds)
            )
            if self._round - last_round < interval_rounds:
                continue
            is_unchanged = changes == self._held_placements.change_count(
                partition
            )
            if not is_unchanged or self._held_placements.has_any(partition):
                self.send(partition)

    def send(self, partition: Partition) -> None:
        """Send the vector of one partition to its home now."""
        home = self._homes.home_of(partition)
        if home is None or home == self._node:
            return
        changes = self._held_placements.change_count(partition)
        if self._mesh.send(home, self._vector(partition, home)):
            self._last_sent[partition] = changes, self._round

    def _vector(self, partition: Partition, home: str) -> LoadVector:
        return LoadVector(
            *partition,
            incarnation=self._mesh.incarnation,
            newest_grant=self._held_placements.newest_grant(partition, home),
            counts=self._held_placements.counts(partition),
        )

    async def _answer_request(
        self, peer: str, request: LoadVectorRequest
    ) -> Message:
        return self._vector((request.service, request.partition), peer)
