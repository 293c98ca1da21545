"""
tools.measure.engine
~~~~~~~~~~~~~~~~~~~~

A minimal engine model for the simulation: a prefix cache of limited size,
and the duration of an answer.
"""

__all__ = ('EngineModel',)

from collections import OrderedDict

PREFILL_TOKENS_PER_S = 8000
DECODE_S_PER_TOKEN = 0.02


class EngineModel:
    """Counts requests in flight and caches histories, evicting the oldest."""

    def __init__(self, capacity_tokens: int) -> None:
        self.in_flight = 0
        self._cache: OrderedDict[int, int] = OrderedDict()
        self._capacity_tokens = capacity_tokens
        self._used_tokens = 0

    def cached_tokens(self, chat: int, history_tokens: int) -> int:
        """Return the tokens of a history that are served from cache."""
        if chat not in self._cache:
            return 0
        self._cache.move_to_end(chat)
        return min(self._cache[chat], history_tokens)

    def store(self, chat: int, tokens: int) -> list[int]:
        """Cache a history and return the chats that were evicted for it."""
        self._used_tokens += tokens - self._cache.pop(chat, 0)
        self._cache[chat] = tokens
        evicted = []
        while (
            self._used_tokens > self._capacity_tokens and len(self._cache) > 1
        ):
            oldest, freed_tokens = self._cache.popitem(last=False)
            self._used_tokens -= freed_tokens
            evicted.append(oldest)
        return evicted

    def clear(self) -> None:
        """Drop the cache, as a restart does."""
        self._cache.clear()
        self._used_tokens = 0


def answer_duration_s(uncached_tokens: int, output_tokens: int) -> float:
    """Return the duration of an answer.

    :param uncached_tokens: prompt tokens that are not cached
    """
    return (
        uncached_tokens / PREFILL_TOKENS_PER_S
        + output_tokens * DECODE_S_PER_TOKEN
    )
