"""
bergamotshed.control.fold
~~~~~~~~~~~~~~~~~~~~~~~~~

Folds the records of the log into the configuration in force. Every reader
arrives at the same version, whether it read the stream from its start,
joined later or missed records that the log's retention dropped.
"""

__all__ = ('NO_VERSION', 'ConfigurationFold')

from ..errors import OptionError
from ..fleet import Fleet
from ..fleet.check import check_fleet
from ..fleet.delta import apply_delta, sort_fleet
from ..log.types import LogPage
from .records import (
    ConfigurationRecord,
    PublishDelta,
    PublishWhole,
    Refresh,
    decode_record,
)

NO_VERSION = -1


class ConfigurationFold:
    """Folds records into the version in force.

    The fold is *exact* while it knows the outcome of each publish so far.
    It is inexact after records were lost to retention; it then stores later
    records until one determines which version was in force, and replays
    them on top of that version.
    """

    def __init__(self) -> None:
        self._version = NO_VERSION
        self._fleet = Fleet()
        self._position = 0
        self._included_to = 0
        self._exact = True
        self._undecided: list[tuple[int, ConfigurationRecord]] = []
        self._undecided_from = 0

    @property
    def version(self) -> int:
        """Return the version in force; -1 if none is known."""
        return self._version

    @property
    def fleet(self) -> Fleet:
        """Return the configuration of that version."""
        return self._fleet

    @property
    def position(self) -> int:
        """Return the offset of the record to be read next."""
        return self._position

    @property
    def exact(self) -> bool:
        """Return whether the outcome of each publish so far is known."""
        return self._exact

    def apply_page(self, page: LogPage) -> None:
        """Fold the records of a page that was read from :attr:`position`."""
        self.skip_lost_records(page)
        for record in page.records:
            self.apply_record(record.offset, record.payload)

    def skip_lost_records(self, page: LogPage) -> None:
        """Skip records before the page that the log no longer keeps."""
        if page.first > max(self._position, self._included_to):
            self._exact = False
            self._undecided.clear()
            self._undecided_from = page.first
        self._position = max(self._position, page.first)
        if page.first == page.next and not self._exact:
            self._undecided_from = page.first

    def apply_record(self, offset: int, payload: bytes) -> None:
        """Fold one record; one that was read before is ignored."""
        if offset < self._position:
            return
        self._position = offset + 1
        record = decode_record(payload)
        if record is None or offset < self._included_to:
            return
        if self._exact:
            self._apply_decidable(offset, record)
            return
        self._undecided.append((offset, record))
        self._try_replay(record)

    def adopt(self, version: int, fleet: Fleet) -> None:
        """Adopt a newer version that another router has in force.

        That version was in force right after the record at its offset, so
        only later records are folded on top of it.
        """
        if version <= self._version:
            return
        if self._exact:
            if version >= self._position:
                self._set_current(version, fleet)
                self._included_to = version + 1
            return
        if version + 1 >= self._undecided_from:
            self._replay(version, fleet, version + 1)
        else:
            self._set_current(version, fleet)

    def _try_replay(self, record: ConfigurationRecord) -> None:
        if record.read_to < self._undecided_from:
            return
        if isinstance(record, Refresh):
            if record.version >= self._version:
                self._replay(record.version, record.fleet, record.read_to)
        elif record.base == NO_VERSION:
            self._replay(self._version, self._fleet, record.read_to)

    def _replay(self, version: int, fleet: Fleet, start: int) -> None:
        self._set_current(version, fleet)
        self._exact = True
        self._included_to = start
        for offset, record in self._undecided:
            if offset >= start:
                self._apply_decidable(offset, record)
        self._undecided.clear()

    def _apply_decidable(
        self, offset: int, record: ConfigurationRecord
    ) -> None:
        if isinstance(record, Refresh) or not self._is_base_current(record):
            return
        fleet = _changed_fleet(self._fleet, record)
        if fleet is not None:
            self._set_current(offset, fleet)

    def _is_base_current(self, record: PublishWhole | PublishDelta) -> bool:
        if record.base == NO_VERSION:
            return self._version < record.read_to
        return record.base == self._version

    def _set_current(self, version: int, fleet: Fleet) -> None:
        self._version = version
        self._fleet = fleet


def _changed_fleet(
    base: Fleet, record: PublishWhole | PublishDelta
) -> Fleet | None:
    if isinstance(record, PublishWhole):
        fleet = sort_fleet(record.fleet)
    else:
        fleet = apply_delta(base, record.delta)
    try:
        check_fleet(fleet, '')
    except OptionError:
        return None
    return fleet
