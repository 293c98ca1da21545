"""
bergamotshed.routing.hashing
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Hashes that are equal on every router, and rendezvous hashing with them.
"""

__all__ = ('is_first', 'rank', 'stable_hash', 'successors')

from bisect import bisect_left
from collections.abc import Iterable, Sequence
from functools import lru_cache
from hashlib import blake2b

HASH_BYTES = 8
WORD_BITS = 64
WORD_MASK = (1 << WORD_BITS) - 1
MIX_SHIFT_FIRST = 30
MIX_SHIFT_SECOND = 27
MIX_SHIFT_LAST = 31
MIX_FACTOR_FIRST = 0xBF58476D1CE4E5B9
MIX_FACTOR_SECOND = 0x94D049BB133111EB
NAME_CACHE_SIZE = 4096
#: The lists of routers that one router uses at a time.
RING_CACHE_SIZE = 8


def stable_hash(*parts: str) -> int:
    """Return a 64-bit hash of the parts and their lengths."""
    digest = blake2b(digest_size=HASH_BYTES)
    for part in parts:
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(HASH_BYTES, 'big'))
        digest.update(encoded)
    return int.from_bytes(digest.digest(), 'big')


def rank(key: int, names: Sequence[str]) -> list[str]:
    """Return the names in the key's rendezvous order, highest score first."""
    scores = [(_mix(key ^ _name_hash(name)), name) for name in names]
    scores.sort(reverse=True)
    return [name for _, name in scores]


def successors(key: int, names: tuple[str, ...], count: int) -> list[str]:
    """Return the names that follow the key on a ring of the names' hashes.

    A change of the names moves few keys, as in :func:`rank`, at a fraction of
    its cost; the names that share a key are not independent.
    """
    ring = _ring(names)
    start = bisect_left(ring, (_mix(key), ''))
    return [
        ring[(start + step) % len(ring)][1]
        for step in range(min(count, len(ring)))
    ]


def is_first(key: int, name: str, others: Iterable[str]) -> bool:
    """Return whether a name precedes all others in the key's order."""
    return rank(key, sorted({name, *others}))[0] == name


@lru_cache(maxsize=RING_CACHE_SIZE)
def _ring(names: tuple[str, ...]) -> list[tuple[int, str]]:
    return sorted((_name_hash(name), name) for name in names)


@lru_cache(maxsize=NAME_CACHE_SIZE)
def _name_hash(name: str) -> int:
    return stable_hash('rendezvous', name)


def _mix(word: int) -> int:
    """Finalise a 64-bit word as splitmix64 does."""
    word = (word ^ (word >> MIX_SHIFT_FIRST)) * MIX_FACTOR_FIRST & WORD_MASK
    word = (word ^ (word >> MIX_SHIFT_SECOND)) * MIX_FACTOR_SECOND & WORD_MASK
    return word ^ (word >> MIX_SHIFT_LAST)
