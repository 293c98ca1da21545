"""
bergamotshed.routing.packedlru
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A least-recently-used table of 64-bit words in two flat arrays.
"""

__all__ = ('PackedLru',)

from array import array
from collections.abc import Iterator

WAYS = 8
INITIAL_SETS = 64
WORD_TYPE = 'Q'
WORD_BYTES = array(WORD_TYPE).itemsize
EMPTY = 0


class PackedLru:
    """A set-associative LRU table of non-zero words to words.

    It starts small and doubles until it can hold ``limit`` entries, rounded
    down to a power of two of sets. A set keeps its newest entry first and
    drops its last one when full.

    :param limit: entries that may be held
    """

    def __init__(self, limit: int) -> None:
        self._max_sets = 1 << (max(limit // WAYS, 1).bit_length() - 1)
        self._size = 0
        self._allocate(min(INITIAL_SETS, self._max_sets))

    def __len__(self) -> int:
        """Return how many entries are held."""
        return self._size

    @property
    def allocated_bytes(self) -> int:
        """Return the bytes that the arrays take."""
        return 2 * len(self._keys) * WORD_BYTES

    def get(self, key: int) -> int | None:
        """Return the word of a key without making it the newest."""
        slot = self._find(key)
        return None if slot is None else self._words[slot]

    def put(self, key: int, word: int) -> None:
        """Set the word of a key and make it the newest of its set."""
        slot = self._find(key)
        base = self._base(key)
        if slot is None:
            slot = base + WAYS - 1
            if self._keys[slot] != EMPTY and self._grow():
                self.put(key, word)
                return
            if self._keys[slot] == EMPTY:
                self._size += 1
        for column, new in ((self._keys, key), (self._words, word)):
            for later in range(slot, base, -1):
                column[later] = column[later - 1]
            column[base] = new

    def remove(self, key: int) -> None:
        """Drop a key, if it is held."""
        slot = self._find(key)
        if slot is None:
            return
        last = self._base(key) + WAYS - 1
        for column in (self._keys, self._words):
            for earlier in range(slot, last):
                column[earlier] = column[earlier + 1]
            column[last] = EMPTY
        self._size -= 1

    def oldest_first(self) -> Iterator[tuple[int, int]]:
        """Iterate over keys and words, each set's oldest first."""
        return _entries(self._keys, self._words)

    def _allocate(self, sets: int) -> None:
        self._sets = sets
        blank = bytes(sets * WAYS * WORD_BYTES)
        self._keys = array(WORD_TYPE, blank)
        self._words = array(WORD_TYPE, blank)

    def _base(self, key: int) -> int:
        return (key & (self._sets - 1)) * WAYS

    def _find(self, key: int) -> int | None:
        base = self._base(key)
        ways = self._keys[base : base + WAYS]
        return base + ways.index(key) if key in ways else None

    def _grow(self) -> bool:
        """Double the sets unless the limit is reached."""
        if self._sets >= self._max_sets:
            return False
        entries = self.oldest_first()
        self._allocate(self._sets * 2)
        self._size = 0
        for key, word in entries:
            self.put(key, word)
        return True


def _entries(
    keys: 'array[int]', words: 'array[int]'
) -> Iterator[tuple[int, int]]:
    for slot in range(len(keys) - 1, -1, -1):
        if keys[slot] != EMPTY:
            yield keys[slot], words[slot]
