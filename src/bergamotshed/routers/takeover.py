"""
bergamotshed.routers.takeover
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The homes that this router keeps: it asks its peers what they hold when it
becomes home, and hands the chat memory on when it ceases to be.
"""

__all__ = ('HomeKeeper',)

import asyncio
from datetime import timedelta

from eliot import log_message

from ..clock import Clock
from ..routing.local import LocalPlacer
from .handover import MemoryExchange
from .homemap import HomeMap
from .ledger import Ledger, Partition, Source
from .mesh import PeerMesh
from .messages import LoadVector, VectorAsk
from .vectors import LoadVectors

#: How long a new home waits for its peers' load vectors.
TAKEOVER_TIMEOUT = timedelta(milliseconds=200)

#: A home that this router keeps against its own view asks again after it.
STAND_IN_LIFETIME = timedelta(seconds=1)


class HomeKeeper:
    """Keeps the homes of this router true.

    :param node: this router's name
    :param fallback: places alone when no home answers
    :param ledger: what this router has in flight
    """

    def __init__(
        self,
        node: str,
        mesh: PeerMesh,
        homes: HomeMap,
        local: LocalPlacer,
        fallback: LocalPlacer,
        ledger: Ledger,
        clock: Clock,
    ) -> None:
        self._node = node
        self._mesh = mesh
        self._homes = homes
        self._local = local
        self._ledger = ledger
        self._clock = clock
        self._vectors = LoadVectors(node, mesh, homes, ledger)
        self.memories = MemoryExchange(mesh, homes, local, fallback)
        self._ready: dict[Partition, asyncio.Task[None]] = {}
        self._ready_at: dict[Partition, float] = {}
        self._known: dict[Partition, str | None] = {}
        self._members: frozenset[str] = frozenset()

    def homed(self) -> tuple[Partition, ...]:
        """Return the partitions whose home is this router."""
        return tuple(
            partition
            for partition in self._homes.partitions()
            if self._homes.home_of(partition) == self._node
        )

    def keeps(self, partition: Partition) -> bool:
        """Tell whether this router has a home for the partition."""
        return partition in self._local.homes()

    async def ready(self, partition: Partition) -> None:
        """Wait until the home knows what the other routers hold."""
        taking = self._ready.get(partition)
        if taking is None or self._is_stale(partition):
            taking = self._begin(partition)
        if not taking.done():
            await asyncio.shield(taking)

    def correct(self, partition: Partition) -> None:
        """Tell the present home at once what this router holds."""
        self._adopt(partition)
        self._vectors.send(partition)

    def check(self) -> None:
        """React to changed homes and routers that are gone; cheap."""
        self._forget_gone()
        partitions = {*self._homes.partitions(), *self._local.homes()}
        for partition in partitions:
            home = self._homes.home_of(partition)
            before = self._known.get(partition)
            if home != before:
                self._known[partition] = home
                self._change(partition, before, home)
            if home != self._node and partition not in self._ready:
                self.memories.drop_idle(partition)

    def repeat(self) -> None:
        """Repeat what this router holds; call it once a second."""
        for partition in self._ledger.partitions:
            self._adopt(partition)
        self._vectors.repeat()

    def take_vector(self, peer: str, vector: LoadVector) -> None:
        """Take over a peer's count of what it has in flight."""
        partition = vector.service, vector.partition
        if self.keeps(partition):
            self._local.home(*partition).reconcile(
                peer, vector.incarnation, vector.seen, vector.counts
            )

    def _is_stale(self, partition: Partition) -> bool:
        """Tell whether peers may not have sent their vectors here."""
        if self._homes.home_of(partition) == self._node:
            return self._known.get(partition) != self._node
        age = self._clock.monotonic() - self._ready_at[partition]
        return age > STAND_IN_LIFETIME.total_seconds()

    def _change(
        self, partition: Partition, before: str | None, home: str | None
    ) -> None:
        if before is not None:
            log_message(
                'home.changed',
                service=partition[0],
                partition=partition[1],
                before=before,
                home=home,
            )
        self.correct(partition)
        if home == self._node:
            self._begin(partition)
            return
        if home is None:
            return
        self._ready.pop(partition, None)
        self.memories.hand_over(partition, home)
        known = {None, self._node, *self._homes.others(self._node)}
        if before not in known:
            self.memories.replace_lost(partition, home)

    def _forget_gone(self) -> None:
        """Give back the places of routers that left or fell silent."""
        members = frozenset(self._homes.others(self._node))
        gone = self._members - members
        self._members = members
        for home in self._local.homes().values():
            for router in gone:
                home.release_router(router)

    def _adopt(self, partition: Partition) -> None:
        if self.keeps(partition):
            foreign = self._ledger.foreign(partition, Source.HOME)
            self._local.adopt(*partition, foreign)

    def _begin(self, partition: Partition) -> asyncio.Task[None]:
        self._known[partition] = self._homes.home_of(partition)
        self._ready_at[partition] = self._clock.monotonic()
        taking = asyncio.create_task(self._take_over(partition))
        self._ready[partition] = taking
        return taking

    async def _take_over(self, partition: Partition) -> None:
        """Ask all peers what they hold, then start as home."""
        self._local.home(*partition)
        self.memories.recall_noted(partition)
        self._adopt(partition)
        question = VectorAsk(*partition)
        peers = self._homes.others(self._node)
        answers = await asyncio.gather(
            *(
                self._mesh.ask(peer, question, TAKEOVER_TIMEOUT)
                for peer in peers
            )
        )
        for peer, answer in zip(peers, answers, strict=True):
            if isinstance(answer, LoadVector):
                self.take_vector(peer, answer)
