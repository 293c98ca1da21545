"""
bergamotshed.control.lease_fold
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Who holds a lease after each record of the log's stream ``leases``. Each
record names the one that it supersedes; of several that name the same, the
first wins.
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

from ..log.types import Page

LEASES_STREAM = 'leases'
NO_RECORD = -1


class LeaseAction(Enum):
    """What a record does."""

    CLAIM = 'claim'
    RENEW = 'renew'
    RELEASE = 'release'


class LeaseRecord(msgspec.Struct, frozen=True, array_like=True):
    """One record of a lease.

    :ivar name: the lease's name
    :ivar holder: who wrote the record
    :ivar supersedes: offset of the record that it follows; -1 where the
        writer knew of none
    :ivar read_from: the oldest record that the writer could read
    :ivar read_to: the offset up to which the writer had read
    :ivar fence: offset of the claim that a renewal or release belongs to
    :ivar ttl: seconds that the lease lasts from before the append
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

    A reader that joins late, or lost records to retention, takes the first
    record whose writer had read all that this reader has not.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._head = NO_RECORD
        self._record: LeaseRecord | None = None
        self._position = 0
        self._read_from = 0
        self._exact = True
        self._kept: list[tuple[int, LeaseRecord]] = []

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
        """Return the fencing number of its writer, -1 for nobody."""
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
        """Return the oldest offset from which on no record was missed."""
        return self._read_from

    @property
    def can_claim(self) -> bool:
        """Return whether a claim written now can be told from others."""
        return self._exact or not self._kept

    @property
    def exact(self) -> bool:
        """Return whether the newest accepted record is known."""
        return self._exact

    def apply_page(self, page: Page) -> None:
        """Fold the records of a page that was read from :attr:`position`."""
        if page.first > self._position:
            self._exact = False
            self._kept.clear()
            self._position = page.first
            self._read_from = page.first
        for record in page.records:
            self._settle(record.offset, record.payload)

    def _settle(self, offset: int, payload: bytes) -> None:
        if offset < self._position:
            return
        self._position = offset + 1
        record = decode_lease(payload)
        if record is None or record.name != self._name:
            return
        if self._exact:
            self._step(offset, record)
            return
        self._kept.append((offset, record))
        if self._tells_head(record):
            self._replay(record)

    def _tells_head(self, anchor: LeaseRecord) -> bool:
        if anchor.read_to < self._read_from:
            return False
        if anchor.supersedes != NO_RECORD:
            return True
        return not any(
            offset >= anchor.read_to and record.supersedes != NO_RECORD
            for offset, record in self._kept
        )

    def _replay(self, anchor: LeaseRecord) -> None:
        self._exact = True
        self._head = anchor.supersedes
        self._record = None
        for offset, record in self._kept:
            if offset >= anchor.read_to:
                self._step(offset, record)
        self._kept.clear()

    def _step(self, offset: int, record: LeaseRecord) -> None:
        if self._follows(record):
            self._head = offset
            self._record = record

    def _follows(self, record: LeaseRecord) -> bool:
        if record.supersedes == NO_RECORD:
            return self._head < record.read_from
        return record.supersedes == self._head


def encode_lease(record: LeaseRecord) -> bytes:
    """Return the record's bytes."""
    return msgspec.msgpack.encode(record)


def decode_lease(payload: bytes) -> LeaseRecord | None:
    """Return the record, or None for bytes that are none."""
    try:
        return msgspec.msgpack.decode(payload, type=LeaseRecord)
    except msgspec.DecodeError:
        return None
