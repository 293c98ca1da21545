"""
bergamotshed.upstreams.registry
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The upstreams that the store lists. Handles outdated records, restarts under
the same id, and entries that expired during an outage of the store.
"""

__all__ = ('InstanceDecoder', 'UpstreamRegistry')

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import replace

from eliot import log_message

from ..clock import Clock
from ..store.health import RETURN_WINDOW, StoreHealth
from ..store.types import Entry, TopicConsumer
from .instance_checks import InstanceMalformed
from .types import Incarnation, Instance
from .version_history import Release, VersionHistory

#: Maximum number of removed upstreams whose last report is kept, of those that
#: stated that they leave, and of names of malformed entries that are logged.
MAX_REMEMBERED = 4096


class InstanceDecoder(ABC):
    """Decodes stored entries; override the method."""

    @abstractmethod
    def decode(self, name: str, value: bytes) -> Instance:
        """Decode an entry.

        :raises InstanceMalformed: a field is missing or invalid
        """


class UpstreamRegistry(TopicConsumer):
    """Tracks the listed upstreams and which of them accept new requests.

    :ivar versions: the versions that the upstreams have, or had lately
    :ivar withdrawn: the upstreams that stated themselves that they leave
    """

    def __init__(
        self, decoder: InstanceDecoder, health: StoreHealth, clock: Clock
    ) -> None:
        self._decoder = decoder
        self._health = health
        self._clock = clock
        self.versions = VersionHistory(clock)
        self._instances: dict[str, Instance] = {}
        self._removed_reports: dict[str, tuple[int, int]] = {}
        self._return_deadlines: dict[str, float] = {}
        self._misdirected_starts: dict[str, int] = {}
        self.withdrawn: set[Incarnation] = set()
        self._malformed_names: set[str] = set()
        self._members: dict[str, tuple[Instance, ...]] = {}
        self._names: dict[str, tuple[str, ...]] = {}

    @property
    def instances(self) -> dict[str, Instance]:
        """Return all listed upstreams by name; must not be modified."""
        return self._instances

    def members(self, service: str) -> tuple[Instance, ...]:
        """Return the upstreams of a service that accept new requests."""
        if self._return_deadlines:
            self._drop_expired()
        return self._members.get(service, ())

    def names(self, service: str) -> tuple[str, ...]:
        """Return the names of all upstreams of a service, also leaving ones."""
        return self._names.get(service, ())

    def mark_misdirected(self, instance: Instance) -> None:
        """Exclude this start: another upstream answers at its address."""
        self._misdirected_starts[instance.name] = instance.born
        self._rebuild()

    def record_leaving(self, upstream: Incarnation, source: str) -> None:
        """Record that an upstream stated that it leaves.

        This holds for its present start, whatever the store lists.

        :param source: where it was stated, for the log
        """
        name, born = upstream
        instance = self._instances.get(name)
        if instance is None or instance.born != born:
            return
        if upstream in self.withdrawn:
            return
        if len(self.withdrawn) >= MAX_REMEMBERED:
            self.withdrawn.pop()
        self.withdrawn.add(upstream)
        self._instances[name] = replace(instance, leaving=True)
        self._rebuild()
        log_message(
            'upstream.withdrawn',
            upstream=name,
            service=instance.service,
            born=born,
            source=source,
        )

    def replace_entries(self, entries: Sequence[Entry], sent_at: float) -> None:
        """Replace the list; upstreams that are missing in it were removed."""
        listed = {entry.key for entry in entries}
        for name in self._instances.keys() - listed:
            self._remove(name)
        self._apply(entries)
        self.versions.confirm(sent_at)

    def apply_changes(self, entries: Sequence[Entry], sent_at: float) -> None:
        """Apply reports and removals in order."""
        self._apply(entries)
        self.versions.confirm(sent_at)

    def _apply(self, entries: Sequence[Entry]) -> None:
        for entry in entries:
            if entry.value:
                self._apply_report(entry)
            else:
                self._remove(entry.key)
        self._rebuild()

    def _apply_report(self, entry: Entry) -> None:
        try:
            instance = self._decoder.decode(entry.key, entry.value)
        except InstanceMalformed as error:
            self._log_malformed(entry.key, str(error))
            return
        known = self._instances.get(instance.name)
        removed = self._removed_reports.get(instance.name)
        if _is_outdated(instance, known, removed):
            return
        # It may be removed again by the same read.
        self.versions.record_former(
            Release(instance.service, instance.version), self._clock.boottime()
        )
        if instance.incarnation in self.withdrawn:
            instance = replace(instance, leaving=True)
        if known is None or known.leaving != instance.leaving:
            log_message(
                'upstream.listed',
                upstream=instance.name,
                service=instance.service,
                address=instance.address,
                version=instance.version,
                leaving=instance.leaving,
                born=instance.born,
                sequence=instance.sequence,
            )
        self._instances[instance.name] = instance
        self._return_deadlines.pop(instance.name, None)
        self._removed_reports.pop(instance.name, None)

    def _remove(self, name: str) -> None:
        known = self._instances.get(name)
        if known is None:
            return
        deadline = self._health.outage_ended_at + RETURN_WINDOW.total_seconds()
        if self._clock.boottime() < deadline:
            self._return_deadlines.setdefault(name, deadline)
            return
        self._drop(name, 'removed')

    def _drop_expired(self) -> None:
        now = self._clock.boottime()
        expired = [
            name
            for name, deadline in self._return_deadlines.items()
            if deadline <= now
        ]
        for name in expired:
            self._drop(name, 'not listed again after an outage of the store')
        if expired:
            self._rebuild()

    def _drop(self, name: str, reason: str) -> None:
        known = self._instances.pop(name, None)
        self._return_deadlines.pop(name, None)
        if known is None:
            return
        self._removed_reports[name] = (known.born, known.sequence)
        if len(self._removed_reports) > MAX_REMEMBERED:
            self._removed_reports.pop(next(iter(self._removed_reports)))
        log_message('upstream.gone', upstream=name, reason=reason)

    def _log_malformed(self, name: str, detail: str) -> None:
        if (
            name not in self._malformed_names
            and len(self._malformed_names) < MAX_REMEMBERED
        ):
            self._malformed_names.add(name)
            log_message('upstream.malformed', upstream=name, detail=detail)

    def _rebuild(self) -> None:
        self.versions.update(self._instances.values())
        members: dict[str, list[Instance]] = {}
        names: dict[str, list[str]] = {}
        for instance in self._instances.values():
            names.setdefault(instance.service, []).append(instance.name)
            if instance.leaving:
                continue
            if self._misdirected_starts.get(instance.name) == instance.born:
                continue
            members.setdefault(instance.service, []).append(instance)
        self._members = {
            service: tuple(sorted(listed, key=lambda member: member.name))
            for service, listed in members.items()
        }
        self._names = {
            service: tuple(sorted(listed)) for service, listed in names.items()
        }


def _is_outdated(
    instance: Instance, known: Instance | None, removed: tuple[int, int] | None
) -> bool:
    """Return whether a report is older than one already applied.

    :param removed: start and sequence of the last report before a removal
    """
    report = (instance.born, instance.sequence)
    if known is not None:
        return report < (known.born, known.sequence)
    return removed is not None and report <= removed
