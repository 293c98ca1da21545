"""
bergamotshed.routing.memory
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Where each chat's history lies, in a few bytes a chat.
"""

__all__ = ('CachedHistory', 'ChatMemory')

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from .packedlru import PackedLru

INDEX_BITS = 16
TOKEN_BITS = 20
FORMER_TOKEN_BITS = 12
FORMER_TOKEN_UNIT = 256
INDEX_MASK = (1 << INDEX_BITS) - 1
TOKEN_MASK = (1 << TOKEN_BITS) - 1
FORMER_TOKEN_MASK = (1 << FORMER_TOKEN_BITS) - 1
TOKEN_SHIFT = INDEX_BITS
FORMER_SHIFT = TOKEN_SHIFT + TOKEN_BITS
FORMER_TOKEN_SHIFT = FORMER_SHIFT + INDEX_BITS


@dataclass(frozen=True, slots=True)
class CachedHistory:
    """Where a chat's history lies.

    :ivar upstream: where it ran last
    :ivar tokens: history cached there
    :ivar former: where it ran before it was displaced, or empty
    :ivar former_tokens: history cached there, rounded down
    """

    upstream: str
    tokens: int
    former: str = ''
    former_tokens: int = 0


class ChatMemory:
    """Remembers the newest chats.

    :param limit: chats that may be remembered
    """

    def __init__(self, limit: int) -> None:
        self._names: list[str] = ['']
        self._indexes: dict[str, int] = {'': 0}
        self._chats = PackedLru(limit)

    def __len__(self) -> int:
        """Return how many chats are remembered."""
        return len(self._chats)

    @property
    def allocated_bytes(self) -> int:
        """Return the bytes that the chats take."""
        return self._chats.allocated_bytes

    def recall(self, chat: int) -> CachedHistory | None:
        """Return where the chat's history lies, if remembered."""
        word = self._chats.get(chat)
        return None if word is None else self._unpack(word)

    def remember(self, chat: int, upstream: str, tokens: int) -> None:
        """Note that the chat's history now lies on the upstream."""
        known = self.recall(chat) or CachedHistory('', 0)
        former, former_tokens = known.former, known.former_tokens
        if known.upstream != upstream:
            former, former_tokens = known.upstream, known.tokens
        self._put(chat, CachedHistory(upstream, tokens, former, former_tokens))

    def evict(self, chat: int, upstream: str) -> None:
        """Note that the upstream no longer caches the chat."""
        known = self.recall(chat)
        if known is None:
            return
        if known.former == upstream:
            self._put(chat, CachedHistory(known.upstream, known.tokens))
        elif known.upstream == upstream and known.former:
            self._put(chat, CachedHistory(known.former, known.former_tokens))
        elif known.upstream == upstream:
            self._chats.remove(chat)

    def export(self, chunk: int) -> Iterator[list[tuple[int, CachedHistory]]]:
        """Yield all that is remembered, in chunks of at most that many."""
        part: list[tuple[int, CachedHistory]] = []
        for chat, word in self._chats.oldest_first():
            part.append((chat, self._unpack(word)))
            if len(part) == chunk:
                yield part
                part = []
        if part:
            yield part

    def merge(self, part: Sequence[tuple[int, CachedHistory]]) -> int:
        """Take over an exported chunk; what is known already stays.

        :returns: how many chats were new
        """
        fresh = [entry for entry in part if self._chats.get(entry[0]) is None]
        for chat, recollection in fresh:
            self._put(chat, recollection)
        return len(fresh)

    def _put(self, chat: int, recollection: CachedHistory) -> None:
        self._chats.put(chat, self._pack(recollection))

    def _index(self, name: str) -> int:
        index = self._indexes.get(name)
        if index is None:
            index = len(self._names)
            self._names.append(name)
            self._indexes[name] = index
        return index & INDEX_MASK

    def _pack(self, known: CachedHistory) -> int:
        former_units = min(
            known.former_tokens // FORMER_TOKEN_UNIT, FORMER_TOKEN_MASK
        )
        return (
            self._index(known.upstream)
            | min(known.tokens, TOKEN_MASK) << TOKEN_SHIFT
            | self._index(known.former) << FORMER_SHIFT
            | former_units << FORMER_TOKEN_SHIFT
        )

    def _unpack(self, word: int) -> CachedHistory:
        return CachedHistory(
            self._names[word & INDEX_MASK],
            word >> TOKEN_SHIFT & TOKEN_MASK,
            self._names[word >> FORMER_SHIFT & INDEX_MASK],
            (word >> FORMER_TOKEN_SHIFT) * FORMER_TOKEN_UNIT,
        )
