"""
bergamotshed.upstreams.registry
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The upstreams that the store lists, with what its records leave open decided:
late records, restarts under the same id, and entries that lapsed while the
store was away.
"""

__all__ = ('InstanceDecoder', 'InstanceMalformed', 'UpstreamRegistry')

from abc import ABC, abstractmethod
from collections.abc import Sequence
from datetime import timedelta

from eliot import log_message

from ..clock import Clock
from ..errors import BergamotshedError
from ..store.health import StoreHealth
from ..store.types import Entry, TopicConsumer
from .types import Instance

#: How long after an outage a removed entry may come back, by the platform's
#: promise of about two seconds.
RETURN_WITHIN = timedelta(milliseconds=2200)
#: Removed upstreams of which the last report is remembered.
REMEMBERED = 4096


class InstanceMalformed(BergamotshedError):
    """A stored entry names no upstream that can be used."""


class InstanceDecoder(ABC):
    """Reads stored entries; override the method."""

    @abstractmethod
    def decode(self, name: str, value: bytes) -> Instance:
        """Decode an entry.

        :raises InstanceMalformed: fields are missing or of another type
        """


class UpstreamRegistry(TopicConsumer):
    """Answers which upstreams of a service take new requests."""

    def __init__(
        self, decoder: InstanceDecoder, health: StoreHealth, clock: Clock
    ) -> None:
        self._decoder = decoder
        self._health = health
        self._clock = clock
        self._known: dict[str, Instance] = {}
        self._removed: dict[str, tuple[int, int]] = {}
        self._lapsed: dict[str, float] = {}
        self._misdirected: dict[str, int] = {}
        self._malformed: set[str] = set()
        self._services: dict[str, tuple[Instance, ...]] = {}
        self._names: dict[str, tuple[str, ...]] = {}

    @property
    def instances(self) -> dict[str, Instance]:
        """Return all listed upstreams by name; not to be changed."""
        return self._known

    def members(self, service: str) -> tuple[Instance, ...]:
        """Return the upstreams of a service that take new requests."""
        if self._lapsed:
            self._expire()
        return self._services.get(service, ())

    def names(self, service: str) -> tuple[str, ...]:
        """Return the names of a service, those that leave included."""
        return self._names.get(service, ())

    def mark_misdirected(self, instance: Instance) -> None:
        """Note that another upstream answers at the address."""
        self._misdirected[instance.name] = instance.born
        self._rebuild()

    def replace_entries(self, entries: Sequence[Entry], sent_at: float) -> None:
        """Take the whole list; what it lacks has been removed."""
        listed = {entry.key for entry in entries}
        for name in self._known.keys() - listed:
            self._remove(name)
        self._apply(entries)

    def apply_changes(self, entries: Sequence[Entry], sent_at: float) -> None:
        """Take reports and removals in their order."""
        self._apply(entries)

    def _apply(self, entries: Sequence[Entry]) -> None:
        for entry in entries:
            if entry.value:
                self._report(entry)
            else:
                self._remove(entry.key)
        self._rebuild()

    def _report(self, entry: Entry) -> None:
        try:
            instance = self._decoder.decode(entry.key, entry.value)
        except InstanceMalformed as error:
            self._note_malformed(entry.key, str(error))
            return
        if self._is_late(instance):
            return
        known = self._known.get(instance.name)
        if known is None or known.leaving != instance.leaving:
            log_message(
                'upstream.listed',
                upstream=instance.name,
                service=instance.service,
                address=instance.address,
                leaving=instance.leaving,
                born=instance.born,
                sequence=instance.sequence,
            )
        self._known[instance.name] = instance
        self._lapsed.pop(instance.name, None)
        self._removed.pop(instance.name, None)

    def _is_late(self, instance: Instance) -> bool:
        """Tell whether a newer report of the same upstream was taken."""
        told = (instance.born, instance.sequence)
        known = self._known.get(instance.name)
        if known is not None:
            return told < (known.born, known.sequence)
        removed = self._removed.get(instance.name)
        return removed is not None and told <= removed

    def _remove(self, name: str) -> None:
        known = self._known.get(name)
        if known is None:
            return
        until = self._health.outage_ended_at + RETURN_WITHIN.total_seconds()
        if self._clock.boottime() < until:
            self._lapsed.setdefault(name, until)
            return
        self._forget(name, 'removed')

    def _expire(self) -> None:
        now = self._clock.boottime()
        gone = [name for name, until in self._lapsed.items() if until <= now]
        for name in gone:
            self._forget(name, 'not back after an outage of the store')
        if gone:
            self._rebuild()

    def _forget(self, name: str, reason: str) -> None:
        known = self._known.pop(name, None)
        self._lapsed.pop(name, None)
        if known is None:
            return
        self._removed[name] = (known.born, known.sequence)
        if len(self._removed) > REMEMBERED:
            self._removed.pop(next(iter(self._removed)))
        log_message('upstream.gone', upstream=name, reason=reason)

    def _note_malformed(self, name: str, detail: str) -> None:
        if name not in self._malformed and len(self._malformed) < REMEMBERED:
            self._malformed.add(name)
            log_message('upstream.malformed', upstream=name, detail=detail)

    def _rebuild(self) -> None:
        services: dict[str, list[Instance]] = {}
        names: dict[str, list[str]] = {}
        for instance in self._known.values():
            names.setdefault(instance.service, []).append(instance.name)
            if instance.leaving:
                continue
            if self._misdirected.get(instance.name) == instance.born:
                continue
            services.setdefault(instance.service, []).append(instance)
        self._services = {
            service: tuple(sorted(members, key=lambda member: member.name))
            for service, members in services.items()
        }
        self._names = {
            service: tuple(sorted(listed)) for service, listed in names.items()
        }
