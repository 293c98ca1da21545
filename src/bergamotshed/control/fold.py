"""
bergamotshed.control.fold
~~~~~~~~~~~~~~~~~~~~~~~~~

Which configuration is in force after each record of the log. Every reader
folds the same records to the same version, whether it saw the stream from
its start, joined later or lost part of it to the log's retention.
"""

__all__ = ('NO_VERSION', 'ConfigurationFold')

from ..errors import OptionError
from ..fleet import Fleet
from ..fleet.check import check_fleet
from ..fleet.delta import apply_delta, sort_fleet
from ..log.types import Page
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
    It is not after records were lost to retention; then it keeps the later
    records until one tells which version was in force, and replays them.
    """

    def __init__(self) -> None:
        self._version = NO_VERSION
        self._fleet = Fleet()
        self._position = 0
        self._settled_to = 0
        self._exact = True
        self._kept: list[tuple[int, ConfigurationRecord]] = []
        self._kept_from = 0

    @property
    def version(self) -> int:
        """Return the version in force; -1 for none that is known."""
        return self._version

    @property
    def fleet(self) -> Fleet:
        """Return its configuration."""
        return self._fleet

    @property
    def position(self) -> int:
        """Return the offset of the record to be read next."""
        return self._position

    @property
    def exact(self) -> bool:
        """Return whether the outcome of each publish so far is known."""
        return self._exact

    def apply_page(self, page: Page) -> None:
        """Fold the records of a page that was read from :attr:`position`."""
        self.skip_lost_records(page)
        for record in page.records:
            self.apply_record(record.offset, record.payload)

    def skip_lost_records(self, page: Page) -> None:
        """Take note of what the log still keeps."""
        if page.first > max(self._position, self._settled_to):
            self._exact = False
            self._kept.clear()
            self._kept_from = page.first
        self._position = max(self._position, page.first)
        if page.first == page.next and not self._exact:
            self._kept_from = page.first

    def apply_record(self, offset: int, payload: bytes) -> None:
        """Fold one record; records that were seen before change nothing."""
        if offset < self._position:
            return
        self._position = offset + 1
        record = decode_record(payload)
        if record is None or offset < self._settled_to:
            return
        if self._exact:
            self._step(offset, record)
            return
        self._kept.append((offset, record))
        self._try_anchor(record)

    def adopt(self, version: int, fleet: Fleet) -> None:
        """Take a newer version that another router has in force.

        That version was in force right after its own offset, so only the
        records that follow it matter.
        """
        if version <= self._version:
            return
        if self._exact:
            if version >= self._position:
                self._put(version, fleet)
                self._settled_to = version + 1
            return
        if version + 1 >= self._kept_from:
            self._replay(version, fleet, version + 1)
        else:
            self._put(version, fleet)

    def _try_anchor(self, record: ConfigurationRecord) -> None:
        if record.read_to < self._kept_from:
            return
        if isinstance(record, Refresh):
            if record.version >= self._version:
                self._replay(record.version, record.fleet, record.read_to)
        elif record.base == NO_VERSION:
            self._replay(self._version, self._fleet, record.read_to)

    def _replay(self, version: int, fleet: Fleet, start: int) -> None:
        self._put(version, fleet)
        self._exact = True
        self._settled_to = start
        for offset, record in self._kept:
            if offset >= start:
                self._step(offset, record)
        self._kept.clear()

    def _step(self, offset: int, record: ConfigurationRecord) -> None:
        if isinstance(record, Refresh) or not self._on_time(record):
            return
        fleet = _result(self._fleet, record)
        if fleet is not None:
            self._put(offset, fleet)

    def _on_time(self, record: PublishWhole | PublishDelta) -> bool:
        if record.base == NO_VERSION:
            return self._version < record.read_to
        return record.base == self._version

    def _put(self, version: int, fleet: Fleet) -> None:
        self._version = version
        self._fleet = fleet


def _result(base: Fleet, record: PublishWhole | PublishDelta) -> Fleet | None:
    if isinstance(record, PublishWhole):
        fleet = sort_fleet(record.fleet)
    else:
        fleet = apply_delta(base, record.delta)
    try:
        check_fleet(fleet, '')
    except OptionError:
        return None
    return fleet
