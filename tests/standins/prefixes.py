"""
tests.standins.prefixes
~~~~~~~~~~~~~~~~~~~~~~~

An engine's prefix cache of limited size, and the events that it emits.
"""

__all__ = ('PrefixCache',)

from collections import OrderedDict
from typing import Any

from .answers import Messages, digest, prompt_tokens

MAX_EVENTS = 500


class PrefixCache:
    """Caches prompt prefixes and evicts the least recently used.

    :param limit: capacity in tokens
    :ivar tokens: cached tokens
    :ivar first_seq: sequence number of the first event that is retained
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._prefixes: OrderedDict[str, tuple[str, int]] = OrderedDict()
        self.tokens = 0
        self.first_seq = 0
        self.events: list[dict[str, Any]] = []

    @property
    def next_seq(self) -> int:
        """Return the sequence number of the next event."""
        return self.first_seq + len(self.events)

    def cached_tokens(self, key: str, messages: Messages) -> int:
        """Return how many tokens of the prompt are cached."""
        turns = list(messages)
        hits = 0
        for end in range(1, len(turns) + 1):
            prefix_key = key + digest(turns[:end])
            if prefix_key not in self._prefixes:
                break
            hits += self._prefixes[prefix_key][1]
        return hits

    def store(self, key: str, chat: str, messages: Messages) -> None:
        """Cache a prompt's prefixes; of these the longest is evicted first."""
        turns = list(messages)
        for end in range(len(turns), 0, -1):
            size = prompt_tokens(turns[end - 1]['content'])
            self._insert(key + digest(turns[:end]), chat, size)
        self._emit('stored', chat, self.chat_tokens(chat))
        while self.tokens > self._limit and self._prefixes:
            _, (owner, size) = self._prefixes.popitem(last=False)
            self.tokens -= size
            self._emit('evicted', owner, size)

    def chat_tokens(self, chat: str) -> int:
        """Return how many tokens of a chat are cached."""
        return sum(
            size for owner, size in self._prefixes.values() if owner == chat
        )

    def export_prefixes(self, chat: str) -> dict[str, int]:
        """Return the size in tokens of each cached prefix of a chat, by key."""
        return {
            key: size
            for key, (owner, size) in self._prefixes.items()
            if owner == chat
        }

    def import_prefixes(self, chat: str, prefixes: dict[str, int]) -> None:
        """Cache prefixes that another engine exported."""
        for prefix_key, size in prefixes.items():
            self._insert(prefix_key, chat, size)
        self._emit('stored', chat, self.chat_tokens(chat))

    def clear(self) -> None:
        """Drop all prefixes and events, as a crash does."""
        self._prefixes.clear()
        self.events.clear()
        self.tokens = self.first_seq = 0

    def trim(self, before: int) -> None:
        """Drop the events before a sequence number."""
        dropped = min(max(before - self.first_seq, 0), len(self.events))
        del self.events[:dropped]
        self.first_seq += dropped

    def _insert(self, prefix_key: str, chat: str, size: int) -> None:
        if prefix_key not in self._prefixes:
            self.tokens += size
        self._prefixes[prefix_key] = (chat, size)
        self._prefixes.move_to_end(prefix_key)

    def _emit(self, kind: str, chat: str, tokens: int) -> None:
        event = {
            'seq': self.next_seq,
            'kind': kind,
            'chat': chat,
            'tokens': tokens,
        }
        self.events.append(event)
        self.trim(self.next_seq - MAX_EVENTS)
