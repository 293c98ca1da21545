"""
bergamotshed.control.lease_fold
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Folds the records of the log's stream ``leases`` into the holder of a lease.
Each record names the record that it supersedes; of several that name the
same, the first wins.
"""

__all__ = (
    'LEASES_STREAM',
    'LeaseAction',
    'LeaseFold',
    'LeaseRecord',
    'decode_lease',
    'encode_lease',
)

from enum import Enum

import msgspec

from ..decoding import DECODE_ERRORS
from ..log.types import LogPage

LEASES_STREAM = 'leases'
NO_RECORD = -1


class LeaseAction(Enum):
    """The action of a lease record."""

    CLAIM = 'claim'
    RENEW = 'renew'
    RELEASE = 'release'


class LeaseRecord(msgspec.Struct, frozen=True, array_like=True):
    """One record of a lease.

    :ivar name: name of the lease
    :ivar holder: writer of the record
    :ivar supersedes: offset of the record that it supersedes; -1 if the
        writer knew of none
    :ivar read_from: oldest offset from which the writer had missed no record
    :ivar read_to: offset up to which the writer had read
    :ivar fence: fencing token: offset of the claim that a renewal or release
        belongs to; -1 in a claim
    :ivar ttl: duration of the lease in seconds, counted from before the
        append
    """

    name: str
    holder: str
    action: LeaseAction
    supersedes: int
    read_from: int
    read_to: int
    fence: int
    ttl: float


class LeaseFold:
    """Folds records into the holder of one lease.

    A reader that joined late, or missed records that retention dropped,
    starts from the first record whose writer had read everything that this
    reader has missed.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._head = NO_RECORD
        self._record: LeaseRecord | None = None
        self._position = 0
        self._read_from = 0
        self._exact = True
        self._undecided: list[tuple[int, LeaseRecord]] = []

    @property
    def head(self) -> int:
        """Return the offset of the newest accepted record, -1 for none."""
        return self._head

    @property
    def record(self) -> LeaseRecord | None:
        """Return the newest accepted record, if it was read."""
        return self._record

    @property
    def fence(self) -> int:
        """Return the fencing token of its writer, -1 for none."""
        if self._record is None:
            return NO_RECORD
        if self._record.action is LeaseAction.CLAIM:
            return self._head
        return self._record.fence

    @property
    def position(self) -> int:
        """Return the offset of the record to be read next."""
        return self._position

    @property
    def read_from(self) -> int:
        """Return the oldest offset from which no record was missed."""
        return self._read_from

    @property
    def can_claim(self) -> bool:
        """Return whether a claim written now can be decided."""
        return self._exact or not self._undecided

    @property
    def exact(self) -> bool:
        """Return whether the newest accepted record is known."""
        return self._exact

    def apply_page(self, page: LogPage) -> None:
        """Fold the records of a page that was read from :attr:`position`."""
        if page.first > self._position:
            self._exact = False
            self._undecided.clear()
            self._position = page.first
            self._read_from = page.first
        for record in page.records:
            self._apply_record(record.offset, record.payload)

    def _apply_record(self, offset: int, payload: bytes) -> None:
        if offset < self._position:
            return
        self._position = offset + 1
        record = decode_lease(payload)
        if record is None or record.name != self._name:
            return
        if self._exact:
            self._apply_decidable(offset, record)
            return
        self._undecided.append((offset, record))
        if self._determines_head(record):
            self._replay(record)

    def _determines_head(self, anchor: LeaseRecord) -> bool:
        if anchor.read_to < self._read_from:
            return False
        if anchor.supersedes != NO_RECORD:
            return True
        return not any(
            offset >= anchor.read_to and record.supersedes != NO_RECORD
            for offset, record in self._undecided
        )

    def _replay(self, anchor: LeaseRecord) -> None:
        self._exact = True
        self._head = anchor.supersedes
        self._record = None
        for offset, record in self._undecided:
            if offset >= anchor.read_to:
                self._apply_decidable(offset, record)
        self._undecided.clear()

    def _apply_decidable(self, offset: int, record: LeaseRecord) -> None:
        if self._supersedes_head(record):
            self._head = offset
            self._record = record

    def _supersedes_head(self, record: LeaseRecord) -> bool:
        if record.supersedes == NO_RECORD:
            return self._head < record.read_from
        return record.supersedes == self._head


def encode_lease(record: LeaseRecord) -> bytes:
    """Return the record's bytes."""
    return msgspec.msgpack.encode(record)


def decode_lease(payload: bytes) -> LeaseRecord | None:
    """Return the record, or ``None`` if the payload isn't a lease record."""
    try:
        return msgspec.msgpack.decode(payload, type=LeaseRecord)
    except DECODE_ERRORS:
        return None
