"""
bergamotshed.routing.memory
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which upstream caches each chat's history, in a few bytes a chat.
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
    """Where a chat's history is cached.

    :ivar upstream: the upstream of the chat's last run
    :ivar tokens: tokens of history cached there
    :ivar former: the upstream before the chat moved there, or empty
    :ivar former_tokens: tokens of history cached there, rounded down to a
        multiple of ``FORMER_TOKEN_UNIT``
    """

    upstream: str
    tokens: int
    former: str = ''
    former_tokens: int = 0


class ChatMemory:
    """Remembers the newest chats.

    An entry is one 64-bit word: index and tokens of the upstream, then of
    the former upstream.

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
        """Return where the chat's history is cached, if remembered."""
        word = self._chats.get(chat)
        return None if word is None else self._unpack(word)

    def remember(self, chat: int, upstream: str, tokens: int) -> None:
        """Record that the upstream now caches the chat's history."""
        history = self.recall(chat) or CachedHistory('', 0)
        former, former_tokens = history.former, history.former_tokens
        if history.upstream != upstream:
            former, former_tokens = history.upstream, history.tokens
        self._put(chat, CachedHistory(upstream, tokens, former, former_tokens))

    def evict(self, chat: int, upstream: str) -> None:
        """Record that the upstream no longer caches the chat."""
        history = self.recall(chat)
        if history is None:
            return
        if history.former == upstream:
            self._put(chat, CachedHistory(history.upstream, history.tokens))
        elif history.upstream == upstream and history.former:
            self._put(
                chat, CachedHistory(history.former, history.former_tokens)
            )
        elif history.upstream == upstream:
            self._chats.remove(chat)

    def export(self, chunk: int) -> Iterator[list[tuple[int, CachedHistory]]]:
        """Yield all chats, in chunks of at most ``chunk`` entries."""
        part: list[tuple[int, CachedHistory]] = []
        for chat, word in self._chats.oldest_first():
            part.append((chat, self._unpack(word)))
            if len(part) == chunk:
                yield part
                part = []
        if part:
            yield part

    def merge(self, part: Sequence[tuple[int, CachedHistory]]) -> int:
        """Add an exported chunk; chats that are remembered here stay as is.

        :returns: how many chats were new
        """
        new_entries = [
            entry for entry in part if self._chats.get(entry[0]) is None
        ]
        for chat, history in new_entries:
            self._put(chat, history)
        return len(new_entries)

    def _put(self, chat: int, history: CachedHistory) -> None:
        self._chats.put(chat, self._pack(history))

    def _index(self, name: str) -> int:
        index = self._indexes.get(name)
        if index is None:
            index = len(self._names)
            self._names.append(name)
            self._indexes[name] = index
        return index & INDEX_MASK

    def _pack(self, history: CachedHistory) -> int:
        former_units = min(
            history.former_tokens // FORMER_TOKEN_UNIT, FORMER_TOKEN_MASK
        )
        return (
            self._index(history.upstream)
            | min(history.tokens, TOKEN_MASK) << TOKEN_SHIFT
            | self._index(history.former) << FORMER_SHIFT
            | former_units << FORMER_TOKEN_SHIFT
        )

    def _unpack(self, word: int) -> CachedHistory:
        return CachedHistory(
            self._names[word & INDEX_MASK],
            word >> TOKEN_SHIFT & TOKEN_MASK,
            self._names[word >> FORMER_SHIFT & INDEX_MASK],
            (word >> FORMER_TOKEN_SHIFT) * FORMER_TOKEN_UNIT,
        )
