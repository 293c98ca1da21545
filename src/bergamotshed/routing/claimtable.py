"""
bergamotshed.routing.claimtable
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Folds the records of one claims stream: the first claim of a key wins it.
All readers that fold the same records get the same result.
"""

__all__ = (
    'ClaimEntry',
    'ClaimHolder',
    'ClaimTable',
    'Entry',
    'SettledEntry',
    'VoidedEntry',
)

from dataclasses import dataclass
from datetime import datetime, timedelta


@dataclass(frozen=True, slots=True)
class ClaimEntry:
    """A run claims a key.

    :ivar key: digest of organisation and idempotency key
    :ivar run: random number of the run
    """

    key: bytes
    run: int


@dataclass(frozen=True, slots=True)
class SettledEntry:
    """The run that holds the key has ended with an answer.

    :ivar kept: the answer was small enough to be stored
    """

    key: bytes
    run: int
    status: int
    body: bytes
    content_type: str
    kept: bool = True


@dataclass(frozen=True, slots=True)
class VoidedEntry:
    """The run didn't execute its request and never will."""

    key: bytes
    run: int


Entry = ClaimEntry | SettledEntry | VoidedEntry


@dataclass(slots=True)
class ClaimHolder:
    """The state of a key.

    :ivar run: the run that holds it; ``None`` when it was voided
    :ivar offset: offset of the record that won it
    :ivar time: when the log received that record, by the log's clock
    :ivar settled: the answer; ``None`` until the run has ended
    :ivar voided: runs that can't hold it again
    """

    run: int | None
    offset: int
    time: datetime
    settled: SettledEntry | None = None
    voided: frozenset[int] = frozenset()


class ClaimTable:
    """The keys of one stream.

    :param retention: how long a key is remembered, by the log's clock
    """

    def __init__(self, retention: timedelta) -> None:
        self._retention = retention
        self._holders: dict[bytes, ClaimHolder] = {}
        self._next = 0
        self._last_time: datetime | None = None
        self._complete_since: datetime | None = None

    def __len__(self) -> int:
        """Return how many keys are remembered."""
        return len(self._holders)

    @property
    def next_offset(self) -> int:
        """Return the offset of the next record to fold."""
        return self._next

    def holder(self, key: bytes) -> ClaimHolder | None:
        """Return the state of a key; ``None`` if it has no claim."""
        return self._holders.get(key)

    def covers(self, moment: datetime) -> bool:
        """Return whether every claim since the moment has been folded."""
        return self._complete_since is None or self._complete_since <= moment

    def skip_to(self, first: int, now: datetime) -> None:
        """Continue at ``first``: the log has dropped the records before it.

        The log should keep records for at least the retention, so dropped
        ones are older. If the last folded record is younger than that, the
        log dropped records too early, and the table is complete only from
        now on.
        """
        if first <= self._next:
            return
        self._next = first
        horizon = now - self._retention
        has_dropped_early = (
            self._last_time is not None and self._last_time > horizon
        )
        self._complete_since = now if has_dropped_early else horizon

    def fold(
        self, offset: int, time: datetime, entries: tuple[Entry, ...]
    ) -> None:
        """Apply the next record; an offset that has been folded is ignored."""
        if offset < self._next:
            return
        self._next = offset + 1
        self._last_time = time
        for entry in entries:
            self._apply(offset, time, entry)
        self._expire(time)

    def _apply(self, offset: int, time: datetime, entry: Entry) -> None:
        holder = self._holders.get(entry.key)
        if isinstance(entry, ClaimEntry):
            self._claim(holder, offset, time, entry)
        elif holder is None or holder.run != entry.run or holder.settled:
            return
        elif isinstance(entry, SettledEntry):
            holder.settled = entry
        else:
            holder.voided |= {entry.run}
            holder.run = None

    def _claim(
        self,
        holder: ClaimHolder | None,
        offset: int,
        time: datetime,
        entry: ClaimEntry,
    ) -> None:
        if holder is None:
            self._holders[entry.key] = ClaimHolder(entry.run, offset, time)
        elif holder.run is None and entry.run not in holder.voided:
            holder.run = entry.run
            holder.offset = offset
            holder.time = time
            # Moves the key to the end: expiry relies on the order of time.
            self._holders[entry.key] = self._holders.pop(entry.key)

    def _expire(self, now: datetime) -> None:
        horizon = now - self._retention
        while self._holders:
            oldest = next(iter(self._holders))
            if self._holders[oldest].time >= horizon:
                return
            del self._holders[oldest]
            if self._complete_since is None or self._complete_since < horizon:
                self._complete_since = horizon
