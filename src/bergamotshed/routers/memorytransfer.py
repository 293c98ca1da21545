"""
bergamotshed.routers.memorytransfer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Sends the chat memory of a partition to its new home.
"""

__all__ = ('ChatMemoryTransfer',)

from ..routing.local import LocalPlacer
from ..routing.types import PlacementRequest
from .heldplacements import Partition
from .homemap import HomeMap
from .mesh import PeerMesh
from .messages import MemoryHandover
from .placementcodec import cached_histories_of, memory_handover_of

#: Maximum number of chats in one message.
MAX_CHATS_PER_MESSAGE = 2000


class ChatMemoryTransfer:
    """Sends the chat memory of former homes and merges what it receives.

    A home that crashes can't send its memory. Each router therefore records
    to which upstreams it sent chats, and sends these records to the new home.

    :param fallback: its memory holds the records of this router's own chats
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
        mesh.on_notice(MemoryHandover, self._merge_handover)

    def record_chat(
        self, partition: Partition, request: PlacementRequest, upstream: str
    ) -> None:
        """Record to which upstream this router sends a chat."""
        memory = self._fallback.home(*partition).memory
        memory.remember(request.chat, upstream, request.history)

    def send_chats(self, partition: Partition, home: str) -> None:
        """Send a former home's memory to the new home of the partition."""
        if partition in self._local.homes():
            self._send_memory(partition, self._local, home)

    def send_recorded_chats(self, partition: Partition, home: str) -> None:
        """Send this router's own records to the new home after a crash."""
        if partition in self._fallback.homes():
            self._send_memory(partition, self._fallback, home)

    def merge_own_records(self, partition: Partition) -> None:
        """Merge this router's own records when it becomes the home."""
        if partition in self._fallback.homes():
            memory = self._local.home(*partition).memory
            recorded = self._fallback.home(*partition).memory
            for part in recorded.export(MAX_CHATS_PER_MESSAGE):
                memory.merge(part)

    def drop_if_idle(self, partition: Partition) -> None:
        """Drop a former home in which no request waits any more."""
        if partition not in self._local.homes():
            return
        state = self._local.home(*partition).state()
        if not any(state.waiting.values()):
            self._local.remove_home(*partition)

    def _merge_handover(self, peer: str, message: MemoryHandover) -> None:
        partition = message.service, message.partition
        if self._homes.has_partition(partition):
            home = self._local.home(*partition)
            home.memory.merge(cached_histories_of(message))

    def _send_memory(
        self, partition: Partition, placer: LocalPlacer, home: str
    ) -> None:
        memory = placer.home(*partition).memory
        for part in memory.export(MAX_CHATS_PER_MESSAGE):
            self._mesh.send(home, memory_handover_of(*partition, part))
