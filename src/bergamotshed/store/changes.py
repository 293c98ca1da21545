"""
bergamotshed.store.changes
~~~~~~~~~~~~~~~~~~~~~~~~~~

Checks that the answer to a read continues where the read began, and whether it
reaches the topic's end.
"""

__all__ = ('changes_since',)

from .types import (
    Changes,
    Entry,
    Position,
    StoreHistoryGone,
    StoreUnavailable,
)


def changes_since(
    start: Position, entries: tuple[Entry, ...], end: int, first_retained: int
) -> Changes:
    """Return the changes that a read from a position on was answered with.

    :param end: the offset after the topic's newest record
    :param first_retained: the offset of the topic's oldest record
    :raises StoreHistoryGone: the records from the position on are gone
    :raises StoreUnavailable: records follow, but the answer has none
    """
    if first_retained > start.offset:
        raise StoreHistoryGone('the oldest record follows the position')
    next_position = start.advanced_by(len(entries))
    is_complete = next_position.offset >= end
    if not is_complete and not entries:
        raise StoreUnavailable('the next record is missing')
    return Changes(entries, next_position, is_complete)
