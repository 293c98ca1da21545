"""
tests.store.memory
~~~~~~~~~~~~~~~~~~

A store in memory that holds the newest value of each key.
"""

__all__ = ('MemoryStore',)

from datetime import timedelta

from bergamotshed.store.types import (
    Changes,
    Entry,
    KeyedStore,
    Listing,
    Position,
    StoreUnavailable,
    Topic,
)


class MemoryStore(KeyedStore):
    """Holds the values of one topic; fails while it is down."""

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}
        self.is_down = False

    async def newest(self, topic: Topic) -> Listing:
        self._check()
        entries = tuple(Entry(*item) for item in self.values.items())
        return Listing(entries, Position(None, 0))

    async def read(
        self, topic: Topic, start: Position, wait: timedelta
    ) -> Changes:
        raise NotImplementedError

    async def put(self, topic: Topic, key: str, value: bytes) -> None:
        self._check()
        self.values[key] = value

    def _check(self) -> None:
        if self.is_down:
            raise StoreUnavailable('down')
