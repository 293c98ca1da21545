"""
bergamotshed.store.types
~~~~~~~~~~~~~~~~~~~~~~~~

The keyed store as the rest of the package sees it.
"""

__all__ = (
    'Changes',
    'Entry',
    'KeyedStore',
    'Listing',
    'Position',
    'StoreError',
    'StoreHistoryGone',
    'StoreUnavailable',
    'Topic',
    'TopicConsumer',
)

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from ..errors import BergamotshedError


class StoreError(BergamotshedError):
    """Base class of the store's errors."""


class StoreUnavailable(StoreError):
    """No usable answer came; a write may still have taken effect."""


class StoreHistoryGone(StoreError):
    """The requested changes can't be read any more; list the topic again.

    :ivar era: the store's present era, if that is the reason
    """

    def __init__(self, detail: str, era: int | None = None) -> None:
        super().__init__(detail)
        self.era = era


class Topic(Enum):
    """A topic of the store."""

    CONFIGURATION = 'configuration'
    UPSTREAMS = 'upstreams'
    ROUTERS = 'routers'
    SUSPECTS = 'suspects'
    VERSIONS = 'versions'


@dataclass(frozen=True, slots=True)
class Position:
    """A place in the history of a topic.

    After a return from an older copy the store gives out the same offsets
    again, so offsets of different eras have nothing in common.

    :ivar era: number of the store's history, which rises with each return;
        ``None`` if the store does not state it
    """

    era: int | None
    offset: int

    def advanced_by(self, count: int) -> 'Position':
        """Return the position after a number of changes."""
        return Position(self.era, self.offset + count)


@dataclass(frozen=True, slots=True)
class Entry:
    """The value of one key at one offset.

    :ivar value: empty if the key was removed
    """

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Listing:
    """The newest value of each key of a topic.

    Several calls may have been needed, so it isn't a snapshot: apply the
    changes from ``end`` on to it.

    :ivar end: position from which to read changes
    """

    entries: tuple[Entry, ...]
    end: Position


@dataclass(frozen=True, slots=True)
class Changes:
    """Consecutive changes of a topic.

    :ivar end: position from which to read the next changes
    :ivar is_complete: no later change was stored when the store was read; an
        answer is limited in size, so changes may follow ``end``
    :ivar is_relayed: a peer has read them
    :ivar age: how long before this call the store was read; negative if it
        was read after the call began
    """

    entries: tuple[Entry, ...]
    end: Position
    is_complete: bool = True
    is_relayed: bool = False
    age: timedelta = timedelta(0)


class KeyedStore(ABC):
    """A client of the store; override all methods."""

    @abstractmethod
    async def newest(self, topic: Topic) -> Listing:
        """List the newest value of each key.

        :raises StoreUnavailable: the store can't be read now
        """

    @abstractmethod
    async def read(
        self, topic: Topic, start: Position, wait: timedelta
    ) -> Changes:
        """Read the changes from a position on.

        :param wait: how long the store may hold the answer back until there
            is a change
        :raises StoreHistoryGone: changes from there on are no longer retained,
            or the position is of another era than the store's present one
        :raises StoreUnavailable: the store can't be read now
        """

    @abstractmethod
    async def put(self, topic: Topic, key: str, value: bytes) -> None:
        """Write the value of a key; an empty one removes it.

        :raises StoreUnavailable: it may or may not have been written
        """


class TopicConsumer(ABC):
    """Receives what a follower reads of one topic; override both methods.

    ``sent_at`` is the boot time at which the read was sent: what the store
    answered was current at that time or later.
    """

    @abstractmethod
    def replace_entries(self, entries: Sequence[Entry], sent_at: float) -> None:
        """Replace everything known of the topic."""

    @abstractmethod
    def apply_changes(self, entries: Sequence[Entry], sent_at: float) -> None:
        """Apply changes; an empty sequence confirms the present state."""
