"""
bergamotshed.routers.heldplacements
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What this router has in flight, by whose grant. From it a home learns what
it does not know, or knows wrongly.
"""

__all__ = ('HeldPlacement', 'HeldPlacements', 'PlacementSource')

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from ..routing.types import Placement

Partition = tuple[str, int]


class PlacementSource(Enum):
    """Which placer granted a place."""

    HOME = 'home'
    PEER = 'peer'
    FALLBACK = 'fallback'


@dataclass(frozen=True, slots=True)
class HeldPlacement:
    """One place that this router holds."""

    partition: Partition
    placement: Placement
    source: PlacementSource


def _by_source() -> dict[PlacementSource, Counter[str]]:
    return {source: Counter() for source in PlacementSource}


@dataclass(slots=True)
class _Account:
    """One partition's places.

    :ivar seen: newest grant received from each home
    """

    counts: Counter[str] = field(default_factory=Counter)
    granted: dict[PlacementSource, Counter[str]] = field(
        default_factory=_by_source
    )
    seen: dict[str, int] = field(default_factory=dict)
    changes: int = 0


class HeldPlacements:
    """Counts the places that this router holds, by service partition."""

    def __init__(self) -> None:
        self._holdings: dict[tuple[str, int], HeldPlacement] = {}
        self._accounts: dict[Partition, _Account] = {}

    def __len__(self) -> int:
        """Return how many places are held."""
        return len(self._holdings)

    @property
    def partitions(self) -> tuple[Partition, ...]:
        """Return the partitions that were ever used."""
        return tuple(self._accounts)

    def add(self, holding: HeldPlacement) -> None:
        """Enter a granted place."""
        placement = holding.placement
        account = self._account(holding.partition)
        self._holdings[(placement.home, placement.grant)] = holding
        account.changes += 1
        account.counts[placement.upstream.name] += 1
        account.granted[holding.source][placement.upstream.name] += 1
        if holding.source is PlacementSource.PEER:
            seen = account.seen.get(placement.home, 0)
            account.seen[placement.home] = max(seen, placement.grant)

    def remove(self, placement: Placement) -> HeldPlacement | None:
        """Strike a place out; ``None`` if it is not held."""
        key = placement.home, placement.grant
        holding = self._holdings.pop(key, None)
        if holding is None:
            return None
        account = self._account(holding.partition)
        account.changes += 1
        _lower(account.counts, placement.upstream.name)
        _lower(account.granted[holding.source], placement.upstream.name)
        return holding

    def counts(self, partition: Partition) -> dict[str, int]:
        """Return the places held on each upstream, whoever granted them."""
        return dict(self._account(partition).counts)

    def has_any(self, partition: Partition) -> bool:
        """Tell whether any place is held in a partition."""
        return bool(self._account(partition).counts)

    def counts_not_granted_by(
        self, partition: Partition, source: PlacementSource
    ) -> dict[str, int]:
        """Return the places that were not granted by that placer."""
        account = self._account(partition)
        return dict(account.counts - account.granted[source])

    def newest_grant(self, partition: Partition, home: str) -> int:
        """Return the newest grant that was received from a home."""
        return self._account(partition).seen.get(home, 0)

    def change_count(self, partition: Partition) -> int:
        """Return a number that grows with each change."""
        return self._account(partition).changes

    def _account(self, partition: Partition) -> _Account:
        return self._accounts.setdefault(partition, _Account())


def _lower(counts: Counter[str], name: str) -> None:
    counts[name] -= 1
    if counts[name] <= 0:
        del counts[name]
