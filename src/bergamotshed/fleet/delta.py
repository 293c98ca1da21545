"""
bergamotshed.fleet.delta
~~~~~~~~~~~~~~~~~~~~~~~~

Changes between two configurations, by whole service and organisation.
"""

__all__ = ('FleetDelta', 'apply_delta', 'compute_delta', 'sort_fleet')

from typing import Protocol, TypeVar

from msgspec import Struct

from .model import Fleet, Organisation, Service


class Named(Protocol):
    """A part of the configuration that is identified by its name."""

    @property
    def name(self) -> str:
        """Return the name."""


Part = TypeVar('Part', bound=Named)


class FleetDelta(Struct, frozen=True, forbid_unknown_fields=True):
    """The difference between a base and a changed configuration.

    :ivar services: new services, and those that replace one of the base
    :ivar organisations: new organisations, and those that replace one
    :ivar removed_services: names of services to remove
    :ivar removed_organisations: names of organisations to remove
    :ivar entries_lifetime: the new value; ``None`` if unchanged
    """

    services: tuple[Service, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    removed_services: tuple[str, ...] = ()
    removed_organisations: tuple[str, ...] = ()
    entries_lifetime: int | None = None


def sort_fleet(fleet: Fleet) -> Fleet:
    """Return the configuration with its parts sorted by name."""
    return Fleet(
        services=_sort_by_name(fleet.services),
        organisations=_sort_by_name(fleet.organisations),
        entries_lifetime=fleet.entries_lifetime,
    )


def compute_delta(base: Fleet, changed: Fleet) -> FleetDelta:
    """Return the delta that turns the base into the changed configuration."""
    is_same_lifetime = base.entries_lifetime == changed.entries_lifetime
    return FleetDelta(
        services=_changed_parts(base.services, changed.services),
        organisations=_changed_parts(base.organisations, changed.organisations),
        removed_services=_removed_names(base.services, changed.services),
        removed_organisations=_removed_names(
            base.organisations, changed.organisations
        ),
        entries_lifetime=None if is_same_lifetime else changed.entries_lifetime,
    )


def apply_delta(base: Fleet, delta: FleetDelta) -> Fleet:
    """Return the changed configuration, its parts sorted by name."""
    lifetime = delta.entries_lifetime
    return Fleet(
        services=_merge_parts(
            base.services, delta.services, delta.removed_services
        ),
        organisations=_merge_parts(
            base.organisations,
            delta.organisations,
            delta.removed_organisations,
        ),
        entries_lifetime=base.entries_lifetime
        if lifetime is None
        else lifetime,
    )


def _sort_by_name(parts: tuple[Part, ...]) -> tuple[Part, ...]:
    return tuple(sorted(parts, key=lambda part: part.name))


def _changed_parts(
    base: tuple[Part, ...], changed: tuple[Part, ...]
) -> tuple[Part, ...]:
    base_parts = {part.name: part for part in base}
    return tuple(part for part in changed if base_parts.get(part.name) != part)


def _removed_names(
    base: tuple[Part, ...], changed: tuple[Part, ...]
) -> tuple[str, ...]:
    remaining_names = {part.name for part in changed}
    return tuple(part.name for part in base if part.name not in remaining_names)


def _merge_parts(
    base: tuple[Part, ...], changed: tuple[Part, ...], removed: tuple[str, ...]
) -> tuple[Part, ...]:
    parts = {part.name: part for part in base if part.name not in removed}
    parts.update({part.name: part for part in changed})
    return _sort_by_name(tuple(parts.values()))
