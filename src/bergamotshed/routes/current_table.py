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

from eliot import log_message

from ..clock import Clock
from ..errors import BergamotshedError
from ..store.types import Entry, TopicConsumer
from .table import RoutingTable
from .types import RoutingData


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
    """Holds the newest version; never returns to an older one."""

    def __init__(self, decoder: RoutingDataDecoder, clock: Clock) -> None:
        self._decoder = decoder
        self._clock = clock
        self._table: RoutingTable | None = None
        self._confirmed_at = -math.inf

    @property
    def table(self) -> RoutingTable | None:
        """Return the version in force; ``None`` before the first one."""
        return self._table

    @property
    def version(self) -> int:
        """Return the version in force, -1 before the first one."""
        return -1 if self._table is None else self._table.version

    @property
    def age(self) -> float:
        """Return the seconds since the request by which the store confirmed
        that the version is the newest; infinite before the first one.
        """
        return self._clock.boottime() - self._confirmed_at

    def replace_entries(self, entries: Sequence[Entry], sent_at: float) -> None:
        """Apply the newest configuration, if it is newer."""
        self.apply_changes(entries, sent_at)

    def apply_changes(self, entries: Sequence[Entry], sent_at: float) -> None:
        """Apply new versions; without one, confirm the one in force."""
        readable = [
            self._apply(entry.value)
            for entry in entries
            if entry.value and self._decoder.is_configuration(entry.key)
        ]
        if not readable or readable[-1]:
            self._confirmed_at = max(self._confirmed_at, sent_at)

    def _apply(self, value: bytes) -> bool:
        """Apply a version if it is newer; return whether it was readable."""
        try:
            data = self._decoder.decode(value)
        except RoutingDataDecodeError as error:
            log_message('configuration.malformed', detail=str(error))
            return False
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
