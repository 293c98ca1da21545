"""
bergamotshed.routing.attribution
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Finds the requests that explain a set of crashes.
"""

__all__ = ('attribute_crashes',)

from collections import defaultdict
from collections.abc import Sequence
from collections.abc import Set as AbstractSet


def attribute_crashes(
    crashes: Sequence[AbstractSet[int]], limit: int
) -> frozenset[int]:
    """Return the fingerprints that were in flight at too many crashes.

    A fingerprint is left out when the others explain each of its crashes.
    A harmless request that reran beside a second harmful one was in flight
    at two crashes; once both harmful ones have crashed an upstream without
    it, its crashes are explained. Each crash keeps at least one of its
    fingerprints that reached the limit.

    :param crashes: the fingerprints in flight at each crash
    :param limit: number of crashes from which a fingerprint is returned
    """
    crashes_of = _crashes_by_fingerprint(crashes)
    causes = {
        fingerprint
        for fingerprint, own in crashes_of.items()
        if len(own) >= limit
    }
    # Fewest crashes first; the order is the same on every router.
    candidates = sorted(
        (len(crashes_of[fingerprint]), fingerprint) for fingerprint in causes
    )
    for _, fingerprint in candidates:
        others = causes - {fingerprint}
        if _is_explained(crashes_of, crashes_of[fingerprint], others):
            causes = others
    return frozenset(causes)


def _crashes_by_fingerprint(
    crashes: Sequence[AbstractSet[int]],
) -> dict[int, set[int]]:
    """Return the indexes of the crashes of each fingerprint."""
    crashes_of: defaultdict[int, set[int]] = defaultdict(set)
    for index, fingerprints in enumerate(crashes):
        for fingerprint in fingerprints:
            crashes_of[fingerprint].add(index)
    return crashes_of


def _is_explained(
    crashes_of: dict[int, set[int]], own: set[int], others: set[int]
) -> bool:
    """Return whether each crash involves another fingerprint that was also in
    flight at a crash outside of ``own``.
    """
    elsewhere = [
        crashes_of[other] for other in others if not crashes_of[other] <= own
    ]
    return all(any(index in indexes for indexes in elsewhere) for index in own)
