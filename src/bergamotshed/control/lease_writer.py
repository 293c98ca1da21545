"""
bergamotshed.control.lease_writer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Appends the records of a lease and keeps the start time of the appends.
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
    """Name and timing of a lease.

    :ivar ttl: how long the lease lasts without renewal
    :ivar margin: how long a contender waits beyond the end of the lease;
        allows for differences between clock rates
    """

    name: str
    ttl: timedelta
    margin: timedelta = DEFAULT_MARGIN


class LeaseWriter:
    """Writes one process's records of one lease.

    Any of several attempts to supersede the same record may be the one that
    takes effect, so the start of the first attempt counts for all of them.

    :param holder: identifies this process; unique in the fleet and for each
        start
    """

    def __init__(
        self, log: Log, options: LeaseOptions, holder: str, clock: Clock
    ) -> None:
        self._log = log
        self._options = options
        self._holder = holder
        self._clock = clock
        self._superseded: int | None = None
        self._first_append_time = clock.monotonic()

    @property
    def holder(self) -> str:
        """Return the holder name in the records of this writer."""
        return self._holder

    def first_append_time(self, record: LeaseRecord) -> float | None:
        """Return the start of the first append of an own record.

        :returns: monotonic seconds, or ``None`` if the record is older than
            this writer's last attempt
        """
        if record.supersedes != self._superseded:
            return None
        return self._first_append_time

    async def append(self, action: LeaseAction, fold: LeaseFold) -> int | None:
        """Append a record that supersedes the newest one.

        :returns: its offset, or ``None`` if the answer was lost
        :raises LogUnavailable: nothing was appended
        """
        record = self._make_record(action, fold)
        is_repeated = self._superseded == record.supersedes
        if not is_repeated:
            self._superseded = record.supersedes
            self._first_append_time = self._clock.monotonic()
        try:
            return await self._log.append(LEASES_STREAM, encode_lease(record))
        except LogAnswerLost:
            return None
        except LogUnavailable:
            if not is_repeated:
                self._superseded = None
            raise

    def _make_record(self, action: LeaseAction, fold: LeaseFold) -> LeaseRecord:
        fence = NO_RECORD if action is LeaseAction.CLAIM else fold.fence
        return LeaseRecord(
            name=self._options.name,
            holder=self._holder,
            action=action,
            supersedes=fold.head if fold.exact else NO_RECORD,
            read_from=fold.read_from,
            read_to=fold.position,
            fence=fence,
            ttl=self._options.ttl.total_seconds(),
        )
