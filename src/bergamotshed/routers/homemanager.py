"""
bergamotshed.routers.homemanager
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Manages the homes of partitions on this router. When the router becomes the
home of a partition, it asks its peers for their load vectors; when another one
does, it sends the chat memory there.
"""

__all__ = ('HomeManager',)

import asyncio
from datetime import timedelta

from eliot import log_message

from ..clock import Clock
from ..routing.local import LocalPlacer
from .heldplacements import HeldPlacements, Partition, PlacementSource
from .homemap import HomeMap
from .loadvectors import LoadVectors
from .memorytransfer import ChatMemoryTransfer
from .mesh import PeerMesh
from .messages import LoadVector, LoadVectorRequest

#: How long a new home waits for its peers' load vectors.
TAKEOVER_TIMEOUT = timedelta(milliseconds=200)

#: Time after which this router, when it acts as a home although its own view
#: names another router, asks the peers for their load vectors again.
STAND_IN_REFRESH_INTERVAL = timedelta(seconds=1)


class HomeManager:
    """Keeps the homes on this router up to date.

    :param node: this router's name
    :param fallback: places requests when no home answers
    :param held_placements: placements of its requests in flight
    """

    def __init__(
        self,
        node: str,
        mesh: PeerMesh,
        homes: HomeMap,
        local: LocalPlacer,
        fallback: LocalPlacer,
        held_placements: HeldPlacements,
        clock: Clock,
    ) -> None:
        self._node = node
        self._mesh = mesh
        self._homes = homes
        self._local = local
        self._held_placements = held_placements
        self._clock = clock
        self._vectors = LoadVectors(node, mesh, homes, held_placements)
        self.memory_transfer = ChatMemoryTransfer(mesh, homes, local, fallback)
        self._takeovers: dict[Partition, asyncio.Task[None]] = {}
        self._takeover_started_at: dict[Partition, float] = {}
        self._known_homes: dict[Partition, str | None] = {}
        self._live_routers: frozenset[str] = frozenset()

    def home_partitions(self) -> tuple[Partition, ...]:
        """Return the partitions that have their home on this router."""
        return tuple(
            partition
            for partition in self._homes.partitions()
            if self._homes.home_of(partition) == self._node
        )

    def has_home(self, partition: Partition) -> bool:
        """Return whether this router holds a home for the partition."""
        return partition in self._local.homes()

    async def wait_until_ready(self, partition: Partition) -> None:
        """Wait until the home knows the counts of the other routers."""
        takeover = self._takeovers.get(partition)
        if takeover is None or self._is_stale(partition):
            takeover = self._start_takeover(partition)
        if not takeover.done():
            await asyncio.shield(takeover)

    def send_counts(self, partition: Partition) -> None:
        """Send the counts of this router to the present home now."""
        self._adopt_counts_of_other_homes(partition)
        self._vectors.send(partition)

    def check_homes(self) -> None:
        """Handle changed homes and lost routers; cheap without changes."""
        self._release_lost_routers()
        partitions = {*self._homes.partitions(), *self._local.homes()}
        for partition in partitions:
            home = self._homes.home_of(partition)
            former = self._known_homes.get(partition)
            if home != former:
                self._known_homes[partition] = home
                self._handle_home_change(partition, former, home)
            if home != self._node and partition not in self._takeovers:
                self.memory_transfer.drop_if_idle(partition)

    def resend_counts(self) -> None:
        """Send the counts again where due; call it once a second."""
        for partition in self._held_placements.partitions:
            self._adopt_counts_of_other_homes(partition)
        self._vectors.send_due()

    def apply_load_vector(self, peer: str, vector: LoadVector) -> None:
        """Reconcile a home with a peer's counts of requests in flight."""
        partition = vector.service, vector.partition
        if self.has_home(partition):
            self._local.home(*partition).reconcile(
                peer, vector.incarnation, vector.newest_grant, vector.counts
            )

    def _is_stale(self, partition: Partition) -> bool:
        """Return whether peers may have sent their vectors elsewhere."""
        if self._homes.home_of(partition) == self._node:
            return self._known_homes.get(partition) != self._node
        age = self._clock.monotonic() - self._takeover_started_at[partition]
        return age > STAND_IN_REFRESH_INTERVAL.total_seconds()

    def _handle_home_change(
        self, partition: Partition, former: str | None, home: str | None
    ) -> None:
        if former is not None:
            log_message(
                'home.changed',
                service=partition[0],
                partition=partition[1],
                before=former,
                home=home,
            )
        self.send_counts(partition)
        if home == self._node:
            self._start_takeover(partition)
            return
        if home is None:
            return
        self._takeovers.pop(partition, None)
        self.memory_transfer.send_chats(partition, home)
        live_homes = {
            None,
            self._node,
            *self._homes.live_peers(self._node),
        }
        if former not in live_homes:
            self.memory_transfer.send_recorded_chats(partition, home)

    def _release_lost_routers(self) -> None:
        """Release the grants of routers that left or became silent."""
        live_routers = frozenset(self._homes.live_peers(self._node))
        lost = self._live_routers - live_routers
        self._live_routers = live_routers
        for home in self._local.homes().values():
            for router in lost:
                home.release_router(router)

    def _adopt_counts_of_other_homes(self, partition: Partition) -> None:
        if self.has_home(partition):
            counts = self._held_placements.counts_not_granted_by(
                partition, PlacementSource.HOME
            )
            self._local.adopt(*partition, counts)

    def _start_takeover(self, partition: Partition) -> asyncio.Task[None]:
        self._known_homes[partition] = self._homes.home_of(partition)
        self._takeover_started_at[partition] = self._clock.monotonic()
        takeover = asyncio.create_task(self._take_over(partition))
        self._takeovers[partition] = takeover
        return takeover

    async def _take_over(self, partition: Partition) -> None:
        """Start as home with the load vectors of all peers."""
        self._local.home(*partition)
        self.memory_transfer.merge_own_records(partition)
        self._adopt_counts_of_other_homes(partition)
        request = LoadVectorRequest(*partition)
        peers = self._homes.live_peers(self._node)
        answers = await asyncio.gather(
            *(self._mesh.ask(peer, request, TAKEOVER_TIMEOUT) for peer in peers)
        )
        for peer, answer in zip(peers, answers, strict=True):
            if isinstance(answer, LoadVector):
                self.apply_load_vector(peer, answer)
