"""
bergamotshed.store.recent_changes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The latest changes of a topic that this router has read, for its peers.
"""

__all__ = ('RecentChanges',)

import asyncio
import math
from collections import deque
from datetime import timedelta
from itertools import islice

from .types import Changes, Entry, Position

#: Changes that are kept; peers that need earlier ones read the store.
MAX_ENTRIES = 256


class RecentChanges:
    """Keeps consecutive changes and wakes those who wait for the next read.

    :ivar read_at: boot time at which the last read that reached the topic's
        end was sent
    """

    def __init__(self) -> None:
        self.read_at = -math.inf
        self._entries: deque[Entry] = deque()
        self._end = Position(None, 0)
        self._is_current = False
        self._waiters: set[asyncio.Future[None]] = set()

    @property
    def era(self) -> int | None:
        """Return the era of the latest changes, or that is known to follow."""
        return self._end.era

    def record(self, start: Position, changes: Changes, read_at: float) -> None:
        """Record a read that began at a position."""
        if start != self._end:
            self._entries.clear()
        self._entries.extend(changes.entries)
        self._end = changes.end
        while len(self._entries) > MAX_ENTRIES:
            self._entries.popleft()
        if changes.is_complete:
            self.read_at = max(self.read_at, read_at)
        self._is_current = True
        self._wake()

    def record_failure(self) -> None:
        """Record that the topic can't be read at present."""
        self._is_current = False
        self._wake()

    def record_return(self, era: int) -> None:
        """Record that the store came back from an older copy."""
        self._entries.clear()
        self._end = Position(era, 0)
        self.record_failure()

    def since(self, start: Position) -> Changes | None:
        """Return the changes from a position on; ``None`` if unknown."""
        end = self._end
        first = end.offset - len(self._entries)
        if (
            not self._is_current
            or math.isinf(self.read_at)
            or start.era != end.era
            or not first <= start.offset <= end.offset
        ):
            return None
        entries = islice(self._entries, start.offset - first, None)
        return Changes(tuple(entries), self._end)

    async def wait(self, timeout: timedelta) -> None:
        """Wait until the next read ends, at most until the timeout."""
        waiter: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiters.add(waiter)
        try:
            await asyncio.wait((waiter,), timeout=timeout.total_seconds())
        finally:
            self._waiters.discard(waiter)

    def _wake(self) -> None:
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
