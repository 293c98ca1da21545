"""
bergamotshed.routers.loadvectors
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tells each home what this router has in flight in its partition.
"""

__all__ = ('LoadVectors',)

from .heldplacements import HeldPlacements, Partition
from .homemap import HomeMap
from .mesh import PeerMesh
from .messages import LoadVector, LoadVectorRequest, Message

#: A vector is sent every so many rounds in a small fleet.
REPEAT_ROUNDS = 3

#: In a large one, a round more for each so many routers, as a home hears
#: them all.
FLEET_STEP = 16


class LoadVectors:
    """Sends load vectors now and then, and when a home changes.

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
        self._told: dict[Partition, tuple[int, int]] = {}
        self._round = 0
        mesh.on_question(LoadVectorRequest, self._answer)

    def send_due(self) -> None:
        """Send the vectors whose turn it is; call it once a second.

        Homes learn of each place by questions and releases; a vector only
        mends what was lost, so a home that was told of none needs no other.
        """
        self._round += 1
        every = max(REPEAT_ROUNDS, self._homes.router_count // FLEET_STEP)
        for partition in self._held_placements.partitions:
            changes, told = self._told.get(partition, (-1, -every))
            if self._round - told < every:
                continue
            same = changes == self._held_placements.change_count(partition)
            if not same or self._held_placements.has_any(partition):
                self.send(partition)

    def send(self, partition: Partition) -> None:
        """Send the vector of one partition to its home now."""
        home = self._homes.home_of(partition)
        if home is None or home == self._node:
            return
        changes = self._held_placements.change_count(partition)
        if self._mesh.send(home, self._vector(partition, home)):
            self._told[partition] = changes, self._round

    def _vector(self, partition: Partition, home: str) -> LoadVector:
        return LoadVector(
            *partition,
            incarnation=self._mesh.incarnation,
            newest_grant=self._held_placements.newest_grant(partition, home),
            counts=self._held_placements.counts(partition),
        )

    async def _answer(self, peer: str, ask: LoadVectorRequest) -> Message:
        return self._vector((ask.service, ask.partition), peer)
