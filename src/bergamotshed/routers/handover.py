"""
bergamotshed.routers.handover
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Passes the chat memory of a partition to its next home.
"""

__all__ = ('MemoryExchange',)

from ..routing.local import LocalPlacer
from ..routing.types import PlacementRequest
from .homemap import HomeMap
from .ledger import Partition
from .mesh import PeerMesh
from .messages import MemoryHandover
from .placement import handover_of, recollections_of

#: Chats in one message.
HANDOVER_CHATS = 2000


class MemoryExchange:
    """Hands former homes on and takes memories over.

    A home that dies can't hand its memory on. Each router therefore notes
    which chats it sent where, and tells the next home.

    :param fallback: its memory holds the chats that this router sent
    """

    def __init__(
        self,
        mesh: PeerMesh,
        homes: HomeMap,
        local: LocalPlacer,
        fallback: LocalPlacer,
    ) -> None:
        self._mesh = mesh
        self._homes = homes
        self._local = local
        self._fallback = fallback
        mesh.on_notice(MemoryHandover, self._take)

    def note(
        self, partition: Partition, request: PlacementRequest, upstream: str
    ) -> None:
        """Note where this router sends a chat."""
        memory = self._fallback.home(*partition).memory
        memory.remember(request.chat, upstream, request.history)

    def hand_over(self, partition: Partition, home: str) -> None:
        """Send all chats of a partition to its new home."""
        if partition in self._local.homes():
            self._send(partition, self._local, home)

    def replace_lost(self, partition: Partition, home: str) -> None:
        """Tell the next home of a lost one which chats were sent where."""
        if partition in self._fallback.homes():
            self._send(partition, self._fallback, home)

    def recall_noted(self, partition: Partition) -> None:
        """Take over, as the new home, what this router noted itself."""
        if partition in self._fallback.homes():
            memory = self._local.home(*partition).memory
            noted = self._fallback.home(*partition).memory
            for part in noted.export(HANDOVER_CHATS):
                memory.merge(part)

    def drop_idle(self, partition: Partition) -> None:
        """Drop a former home in which nobody waits any more."""
        if partition not in self._local.homes():
            return
        state = self._local.home(*partition).state()
        if not any(state.waiting.values()):
            self._local.remove_home(*partition)

    def _take(self, peer: str, message: MemoryHandover) -> None:
        partition = message.service, message.partition
        if self._homes.knows(partition):
            home = self._local.home(*partition)
            home.memory.merge(recollections_of(message))

    def _send(
        self, partition: Partition, placer: LocalPlacer, home: str
    ) -> None:
        memory = placer.home(*partition).memory
        for part in memory.export(HANDOVER_CHATS):
            self._mesh.send(home, handover_of(*partition, part))
