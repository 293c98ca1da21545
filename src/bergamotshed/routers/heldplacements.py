"""
bergamotshed.routers.heldplacements
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The placements of this router's requests in flight, with the placer that
granted each. Homes correct their own counts from them.
"""

__all__ = ('HeldPlacement', 'HeldPlacements', 'PlacementSource')

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from ..routing.types import Placement

Partition = tuple[str, int]


class PlacementSource(Enum):
    """Which placer granted a placement."""

    HOME = 'home'
    PEER = 'peer'
    FALLBACK = 'fallback'


@dataclass(frozen=True, slots=True)
class HeldPlacement:
    """One granted placement that this router has not released yet."""

    partition: Partition
    placement: Placement
    source: PlacementSource


def _counters_by_source() -> dict[PlacementSource, Counter[str]]:
    return {source: Counter() for source in PlacementSource}


@dataclass(slots=True)
class _PartitionCounts:
    """Counts of the placements held in one partition.

    :ivar counts: placements on each upstream
    :ivar granted: the same by the placer that granted them
    :ivar newest_grants: newest grant received from each home
    :ivar changes: number of changes so far
    """

    counts: Counter[str] = field(default_factory=Counter)
    granted: dict[PlacementSource, Counter[str]] = field(
        default_factory=_counters_by_source
    )
    newest_grants: dict[str, int] = field(default_factory=dict)
    changes: int = 0


class HeldPlacements:
    """Tracks the placements that this router holds, by service partition."""

    def __init__(self) -> None:
        self._held_by_grant: dict[tuple[str, int], HeldPlacement] = {}
        self._by_partition: dict[Partition, _PartitionCounts] = {}

    def __len__(self) -> int:
        """Return how many placements are held."""
        return len(self._held_by_grant)

    @property
    def partitions(self) -> tuple[Partition, ...]:
        """Return the partitions that were ever used."""
        return tuple(self._by_partition)

    def add(self, held: HeldPlacement) -> None:
        """Add a granted placement."""
        placement = held.placement
        partition_counts = self._of_partition(held.partition)
        self._held_by_grant[(placement.home, placement.grant)] = held
        partition_counts.changes += 1
        partition_counts.counts[placement.upstream.name] += 1
        partition_counts.granted[held.source][placement.upstream.name] += 1
        if held.source is PlacementSource.PEER:
            newest = partition_counts.newest_grants.get(placement.home, 0)
            partition_counts.newest_grants[placement.home] = max(
                newest, placement.grant
            )

    def remove(self, placement: Placement) -> HeldPlacement | None:
        """Remove and return a placement; ``None`` if it is not held."""
        key = placement.home, placement.grant
        held = self._held_by_grant.pop(key, None)
        if held is None:
            return None
        partition_counts = self._of_partition(held.partition)
        partition_counts.changes += 1
        _decrement(partition_counts.counts, placement.upstream.name)
        _decrement(
            partition_counts.granted[held.source], placement.upstream.name
        )
        return held

    def counts(self, partition: Partition) -> dict[str, int]:
        """Return the placements on each upstream, whoever granted them."""
        return dict(self._of_partition(partition).counts)

    def has_any(self, partition: Partition) -> bool:
        """Return whether any placement is held in a partition."""
        return bool(self._of_partition(partition).counts)

    def counts_not_granted_by(
        self, partition: Partition, source: PlacementSource
    ) -> dict[str, int]:
        """Return the placements on each upstream not granted by a placer."""
        partition_counts = self._of_partition(partition)
        return dict(partition_counts.counts - partition_counts.granted[source])

    def newest_grant(self, partition: Partition, home: str) -> int:
        """Return the newest grant that was received from a home."""
        return self._of_partition(partition).newest_grants.get(home, 0)

    def change_count(self, partition: Partition) -> int:
        """Return a number that grows with each change."""
        return self._of_partition(partition).changes

    def _of_partition(self, partition: Partition) -> _PartitionCounts:
        return self._by_partition.setdefault(partition, _PartitionCounts())


def _decrement(counts: Counter[str], name: str) -> None:
    counts[name] -= 1
    if counts[name] <= 0:
        del counts[name]
