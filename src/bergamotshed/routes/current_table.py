"""
bergamotshed.routes.current_table
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The routing table in force on this router, and how recently the store has
confirmed it.
"""

__all__ = (
    'CurrentRoutingTable',
    'RoutingDataDecodeError',
    'RoutingDataDecoder',
)

import math
from abc import ABC, abstractmethod
from collections.abc import Sequence
from datetime import timedelta

from eliot import log_message

from ..clock import Clock
from ..errors import BergamotshedError
from ..store.types import Entry, TopicConsumer
from .table import RoutingTable
from .types import RoutingData

#: Less than every version.
NO_VERSION = -1
#: How long after a listing the store may be found to lack a version. Later a
#: read that misses one is a late answer, as the history has not changed.
LOSS_WINDOW = timedelta(seconds=5)


class RoutingDataDecodeError(BergamotshedError):
    """A stored configuration can't be read."""


class RoutingDataDecoder(ABC):
    """Reads stored configurations; override both methods."""

    @abstractmethod
    def is_configuration(self, key: str) -> bool:
        """Return whether the key holds the fleet's configuration."""

    @abstractmethod
    def decode(self, value: bytes) -> RoutingData:
        """Decode a stored value.

        :raises RoutingDataDecodeError: it is malformed
        """


class CurrentRoutingTable(TopicConsumer):
    """Holds the newest version; never returns to an older one.

    The store may come back from an older copy and lose versions. While it holds
    an older one than this router, nothing confirms the one in force; while it
    holds an older one than a peer, this router does not know the newest one.
    """

    def __init__(self, decoder: RoutingDataDecoder, clock: Clock) -> None:
        self._decoder = decoder
        self._clock = clock
        self._table: RoutingTable | None = None
        self._confirmed_at = -math.inf
        self._stored_version = NO_VERSION
        self._heard_version = NO_VERSION
        self._heard_at = -math.inf
        self._listed_at = -math.inf
        self._is_outdated = False

    @property
    def table(self) -> RoutingTable | None:
        """Return the version in force; ``None`` before the first one."""
        return self._table

    @property
    def version(self) -> int:
        """Return the version in force, -1 before the first one."""
        return NO_VERSION if self._table is None else self._table.version

    @property
    def is_outdated(self) -> bool:
        """Return whether a peer has a newer version that the store lost."""
        return self._is_outdated

    @property
    def age(self) -> float:
        """Return the seconds since the request by which the store confirmed
        that the version is the newest; infinite before the first one, and
        while a peer has a newer version that the store lost.
        """
        if self._is_outdated:
            return math.inf
        return self._clock.boottime() - self._confirmed_at

    @property
    def has_heard_newer(self) -> bool:
        """Return whether a peer has a newer version."""
        return self._heard_version > self.version

    def hear_version(self, version: int) -> None:
        """Record the version of a peer."""
        if version > max(self.version, self._heard_version):
            self._heard_version = version
            self._heard_at = self._clock.boottime()

    def replace_entries(self, entries: Sequence[Entry], sent_at: float) -> None:
        """Apply the newest configuration, if it is newer."""
        self._stored_version = NO_VERSION
        self._listed_at = self._clock.boottime()
        self.apply_changes(entries, sent_at)

    def apply_changes(self, entries: Sequence[Entry], sent_at: float) -> None:
        """Apply new versions; without one, confirm the one in force."""
        readable = [
            self._apply(entry.value)
            for entry in entries
            if entry.value and self._decoder.is_configuration(entry.key)
        ]
        self._update_outdated(sent_at)
        is_readable = not readable or readable[-1]
        if is_readable and self._stored_version == self.version:
            self._confirmed_at = max(self._confirmed_at, sent_at)

    def _update_outdated(self, sent_at: float) -> None:
        """Compare the store's version, as of a read, with the peers'."""
        since_listing_s = self._clock.boottime() - self._listed_at
        is_lost = (
            since_listing_s < LOSS_WINDOW.total_seconds()
            and self._heard_version > self._stored_version
            and sent_at >= self._heard_at
        )
        is_outdated = self.version < self._heard_version and (
            self._is_outdated or is_lost
        )
        if is_outdated != self._is_outdated:
            log_message(
                'configuration.lost' if is_outdated else 'configuration.found',
                in_force=self.version,
                stored=self._stored_version,
                heard=self._heard_version,
            )
        self._is_outdated = is_outdated

    def _apply(self, value: bytes) -> bool:
        """Apply a version if it is newer; return whether it was readable."""
        try:
            data = self._decoder.decode(value)
        except RoutingDataDecodeError as error:
            log_message('configuration.malformed', detail=str(error))
            return False
        self._stored_version = data.version
        if self._table is not None and data.version <= self._table.version:
            log_message(
                'configuration.older',
                version=data.version,
                in_force=self._table.version,
            )
            return True
        self._table = RoutingTable(data)
        log_message(
            'configuration.in_force',
            version=data.version,
            routes=len(data.routes),
            keys=len(data.keys),
        )
        return True
