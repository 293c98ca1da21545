"""
tests.store.positions
~~~~~~~~~~~~~~~~~~~~~

Short forms of positions in a topic.
"""

__all__ = ('at',)

from bergamotshed.store.types import Position


def at(offset: int, era: int | None = None) -> Position:
    """Return a position, of a store without eras by default."""
    return Position(era, offset)
