"""
bergamotshed.control.lease_writer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Appends the records of a lease and remembers when each was begun.
"""

__all__ = ('LeaseOptions', 'LeaseWriter')

from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from ..log.types import Log, LogAnswerLost, LogUnavailable
from .lease_fold import (
    LEASES_STREAM,
    NO_RECORD,
    LeaseAction,
    LeaseFold,
    LeaseRecord,
    encode_lease,
)

DEFAULT_MARGIN = timedelta(seconds=2)


@dataclass(frozen=True, slots=True)
class LeaseOptions:
    """What is contended for, and how.

    :ivar ttl: how long the lease lasts without renewal
    :ivar margin: what a contender waits beyond the lease
    """

    name: str
    ttl: timedelta
    margin: timedelta = DEFAULT_MARGIN


class LeaseWriter:
    """Writes one process's records of one lease.

    Of several tries to supersede the same record any may be the one that
    takes effect, so the earliest start counts for all of them.

    :param holder: this process, unique in the fleet and in each start
    """

    def __init__(
        self, log: Log, terms: LeaseOptions, holder: str, clock: Clock
    ) -> None:
        self._log = log
        self._terms = terms
        self._holder = holder
        self._clock = clock
        self._superseded: int | None = None
        self._started = clock.monotonic()

    @property
    def holder(self) -> str:
        """Return the name that its records carry."""
        return self._holder

    def first_append_time(self, record: LeaseRecord) -> float | None:
        """Return when the append of an own record was begun at the earliest.

        :returns: monotonic seconds, or None for a record of long ago
        """
        if record.supersedes != self._superseded:
            return None
        return self._started

    async def append(self, action: LeaseAction, fold: LeaseFold) -> int | None:
        """Append a record that supersedes the newest one.

        :returns: its offset, or None where the answer was lost
        :raises LogUnavailable: nothing was appended
        """
        record = self._record(action, fold)
        repeated = self._superseded == record.supersedes
        if not repeated:
            self._superseded = record.supersedes
            self._started = self._clock.monotonic()
        try:
            return await self._log.append(LEASES_STREAM, encode_lease(record))
        except LogAnswerLost:
            return None
        except LogUnavailable:
            if not repeated:
                self._superseded = None
            raise

    def _record(self, action: LeaseAction, fold: LeaseFold) -> LeaseRecord:
        fence = NO_RECORD if action is LeaseAction.CLAIM else fold.fence
        return LeaseRecord(
            name=self._terms.name,
            holder=self._holder,
            action=action,
            supersedes=fold.head if fold.exact else NO_RECORD,
            read_from=fold.read_from,
            read_to=fold.position,
            fence=fence,
            ttl=self._terms.ttl.total_seconds(),
        )
