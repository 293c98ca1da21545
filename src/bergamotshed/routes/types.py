"""
bergamotshed.routes.types
~~~~~~~~~~~~~~~~~~~~~~~~~

The data types of the routing table.
"""

__all__ = (
    'Organisation',
    'Repeatability',
    'RequestLimits',
    'Route',
    'RoutedService',
    'RoutingData',
    'ServiceShare',
)

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum


class Repeatability(Enum):
    """What may be sent to upstreams more than once.

    :cvar ONCE: nothing; the request runs at most once
    :cvar REPEATABLE: the whole request
    :cvar RESUMABLE: a stream, from the event after the last one received
    """

    ONCE = 'once'
    REPEATABLE = 'repeatable'
    RESUMABLE = 'resumable'


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service that takes a share of a route's requests."""

    service: str
    weight: float = 1


@dataclass(frozen=True, slots=True)
class Route:
    """A group of requests and how they are handled.

    :ivar path_prefix: begins and ends with a slash
    :ivar services: services that take the requests, by weight
    :ivar timeout: longest time from arrival to the final answer
    :ivar target_latency: time within which an answer counts in full
    :ivar event_gap: longest pause between events that still counts as on
        time; zero where there are none
    :ivar max_attempts: upstreams that one request may be sent to
    :ivar priority: 0 is the most urgent
    :ivar is_streaming: answers are series of events
    :ivar is_public: needs no API key
    """

    name: str
    host: str
    path_prefix: str
    services: tuple[ServiceShare, ...]
    timeout: timedelta
    target_latency: timedelta
    repeatability: Repeatability = Repeatability.ONCE
    event_gap: timedelta = timedelta(0)
    max_attempts: int = 1
    priority: int = 5
    is_streaming: bool = False
    is_public: bool = False


@dataclass(frozen=True, slots=True)
class RoutedService:
    """A pool of upstreams.

    :ivar max_connections: connections that one upstream accepts from all
        routers together; 0 if unknown
    :ivar memory_tokens: tokens that an upstream's cache holds; 0 if it
        isn't a model engine
    """

    name: str
    max_connections: int = 0
    memory_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation that sends requests.

    :ivar priority: takes precedence over the route's; ``None`` for none
    """

    name: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits of what a caller may send.

    :ivar header_timeout: how long the head of a request may take
    :ivar idle_timeout: how long a connection may be idle
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@dataclass(frozen=True, slots=True)
class RoutingData:
    """One version of the configuration, decoded.

    :ivar keys: the organisation that holds each API key
    :ivar requires_key: requests need a key unless their route is public
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, RoutedService] = field(default_factory=dict)
    keys: Mapping[str, Organisation] = field(default_factory=dict)
    requires_key: bool = False
    limits: RequestLimits = RequestLimits()
