"""
bergamotshed.fleet.model
~~~~~~~~~~~~~~~~~~~~~~~~

Data model of the configuration, validated when it is decoded. Every router
has one :class:`Fleet` and its version, the log offset of the accepted record.
"""

__all__ = ('Fleet', 'LiveModel', 'Organisation', 'Service', 'ServiceKind')

from enum import Enum
from typing import Annotated

from msgspec import Meta, Struct

MAX_COUNT = 100_000
MAX_ENTRIES_LIFETIME_S = 3600

Name = Annotated[str, Meta(pattern='^[a-z0-9][a-z0-9._-]{0,62}$')]
LoadBound = Annotated[float, Meta(ge=1, le=10)]
Count = Annotated[int, Meta(ge=1, le=MAX_COUNT)]
Headroom = Annotated[float, Meta(ge=0, le=3)]
Patience = Annotated[float, Meta(ge=0, le=10)]
PrefillRate = Annotated[int, Meta(ge=1, le=10_000_000)]
Share = Annotated[float, Meta(gt=0, le=1000)]


class ServiceKind(Enum):
    """Kind of the upstreams of a service."""

    ENGINE = 'engine'
    PLAIN = 'plain'


class LiveModel(Struct, frozen=True, forbid_unknown_fields=True):
    """One model version that engines of a service should have loaded.

    :ivar engines: how many engines should have it loaded; 0 means all
    """

    name: Name
    version: Name
    adapters: tuple[Name, ...] = ()
    engines: Annotated[int, Meta(ge=0, le=MAX_COUNT)] = 0


class Service(Struct, frozen=True, forbid_unknown_fields=True):
    """A pool of upstreams that answer the same requests.

    :ivar load_bound: an upstream may have at most
        ``ceil(load_bound * mean in-flight)`` requests in flight
    :ivar spread: how many upstreams of a chat's preference order a chat
        without history may choose from; higher values reduce load skew
    :ivar policy: name of the placement policy
    :ivar headroom: how far the mean may fall after a placement, when requests
        on other upstreams end, before the bound is exceeded; in square
        roots of the number of requests in flight
    :ivar patience: longest time, in seconds, that a request waits until the
        upstream that caches its history is below the bound; it never waits
        longer than reading the history again would take
    :ivar prefill_rate: uncached tokens that an upstream reads per second
    :ivar partitions: number of partitions of the service's chats; each has a
        home, which places them
    :ivar slots: requests that one upstream runs at the same time
    :ivar queue: most requests that may wait for a slot, in total
    :ivar fencing: the upstreams refuse orders with an old fencing token
    :ivar at_most_once: plain calls that are always at-most-once
    """

    name: Name
    kind: ServiceKind = ServiceKind.ENGINE
    models: tuple[LiveModel, ...] = ()
    load_bound: LoadBound = 1.25
    spread: Count = 3
    policy: Name = 'remembered'
    headroom: Headroom = 0.5
    patience: Patience = 1
    prefill_rate: PrefillRate = 8000
    partitions: Count = 1
    slots: Count = 32
    queue: Count = 200
    fencing: bool = False
    at_most_once: tuple[Name, ...] = ()


class Organisation(Struct, frozen=True, forbid_unknown_fields=True):
    """A customer organisation and what it may use.

    :ivar services: names of services that it may call
    :ivar share: its weight when capacity is short
    """

    name: Name
    services: tuple[Name, ...]
    share: Share = 1


class Fleet(Struct, frozen=True, forbid_unknown_fields=True):
    """The whole configuration.

    :ivar entries_lifetime: seconds for which callers may cache the list of
        entry addresses
    """

    services: tuple[Service, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    entries_lifetime: Annotated[int, Meta(ge=1, le=MAX_ENTRIES_LIFETIME_S)] = 30

    def service(self, name: str) -> Service | None:
        """Return the service of that name; ``None`` if there is none."""
        return next(
            (service for service in self.services if service.name == name), None
        )

    def organisation(self, name: str) -> Organisation | None:
        """Return the organisation of that name; ``None`` if there is none."""
        return next(
            (
                organisation
                for organisation in self.organisations
                if organisation.name == name
            ),
            None,
        )

    def service_of_model(self, model: str) -> Service | None:
        """Return the service whose models include this one."""
        return next(
            (
                service
                for service in self.services
                if any(live.name == model for live in service.models)
            ),
            None,
        )
