"""
bergamotshed.routers.storemessages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Messages by which routers get the store's changes from each other. Their tags
continue those of :mod:`bergamotshed.routers.promptmessages`.
"""

__all__ = ('ChangesAnswer', 'ChangesRequest')

from msgspec import Struct


class ChangesRequest(Struct, frozen=True, array_like=True, tag=25):
    """Asks a router for the changes of a topic that it has read.

    :ivar topic: value of the :class:`~bergamotshed.store.types.Topic`
    :ivar start: offset of the first change wanted
    :ivar wait: milliseconds for which the answer may be held back until there
        is a change
    :ivar max_age: milliseconds; changes that were confirmed longer ago are not
        wanted
    :ivar era: era of the offset
    """

    topic: str
    start: int
    wait: int
    max_age: int
    era: int | None = None


class ChangesAnswer(Struct, frozen=True, array_like=True, tag=26):
    """Consecutive changes of a topic.

    :ivar is_known: false if the router can't tell; the other fields but the era
        are unset
    :ivar entries: key and value of each change
    :ivar end: offset after the last change
    :ivar age: milliseconds from the call of the store that confirmed these
        changes until the question arrived; negative if the call came later
    :ivar era: era of the offset; the router's own where that is not known
    """

    is_known: bool
    entries: tuple[tuple[str, bytes], ...] = ()
    end: int = 0
    age: int = 0
    era: int | None = None
