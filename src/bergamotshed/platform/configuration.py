"""
bergamotshed.platform.configuration
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decodes the operators' configuration in the platform's format.
"""

__all__ = ('PlatformRoutingDataDecoder',)

from datetime import timedelta

from msgspec import Struct, field
from msgspec.json import Decoder

from ..decoding import DECODE_ERRORS
from ..routes.current_table import RoutingDataDecodeError, RoutingDataDecoder
from ..routes.types import (
    Organisation,
    Repeatability,
    RequestLimits,
    Route,
    RoutedService,
    RoutingData,
    ServiceShare,
)
from . import names

STREAMING = 'streaming'
IDEMPOTENT = 'idempotent'


class ShareBody(Struct):
    """A service that gets a share of the requests of a route."""

    service: str
    weight: float = 1


class RouteBody(Struct):
    """A route.

    :ivar traffic_split: its services by weight; ``service`` if empty
    :ivar gap_aim_ms: target for the longest pause between two events of a
        stream
    """

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 0
    priority: int = 5
    service: str | None = None
    traffic_split: list[ShareBody] = field(default_factory=list)
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0


class EngineBody(Struct):
    """Properties of the engines of a model service."""

    kv_capacity_tokens: int = 0


class ServiceBody(Struct):
    """A service."""

    name: str
    max_connections: int = 0
    engine: EngineBody | None = None


class LimitsBody(Struct):
    """Limits on requests of callers."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class TenantBody(Struct):
    """An organisation and its API keys."""

    name: str
    api_keys: list[str] = field(default_factory=list)
    priority: int | None = None


class ConfigurationBody(Struct):
    """The whole configuration."""

    version: int
    routes: list[RouteBody] = field(default_factory=list)
    services: list[ServiceBody] = field(default_factory=list)
    limits: LimitsBody = field(default_factory=LimitsBody)
    tenants: list[TenantBody] | None = None


_decoder = Decoder(ConfigurationBody)


class PlatformRoutingDataDecoder(RoutingDataDecoder):
    """Decodes the configuration from JSON."""

    def is_configuration(self, key: str) -> bool:
        """Return whether the key is that of the configuration record."""
        return key == names.CONFIGURATION_KEY

    def decode(self, value: bytes) -> RoutingData:
        """Decode one version."""
        try:
            return _routing_data(_decoder.decode(value))
        except DECODE_ERRORS as error:
            raise RoutingDataDecodeError(str(error)) from error


def _routing_data(body: ConfigurationBody) -> RoutingData:
    tenants = body.tenants or []
    return RoutingData(
        version=body.version,
        routes=tuple(map(_route, body.routes)),
        services={service.name: _service(service) for service in body.services},
        keys={
            key: Organisation(tenant.name, tenant.priority)
            for tenant in tenants
            for key in tenant.api_keys
        },
        # An empty list means that no key is valid.
        requires_key=body.tenants is not None,
        limits=_limits(body.limits),
    )


def _route(body: RouteBody) -> Route:
    shares = tuple(
        ServiceShare(share.service, share.weight)
        for share in body.traffic_split
    )
    if not shares and body.service is not None:
        shares = (ServiceShare(body.service),)
    return Route(
        name=body.name,
        host=body.host,
        path_prefix=body.path_prefix,
        services=shares,
        timeout=_duration(body.timeout_ms),
        target_latency=_duration(body.target_latency_ms),
        repeatability=_repeatability(body),
        event_gap=_duration(body.gap_aim_ms),
        max_attempts=max(1, body.max_attempts),
        priority=body.priority,
        is_streaming=body.kind == STREAMING,
        is_public=body.public,
    )


def _repeatability(body: RouteBody) -> Repeatability:
    if body.kind == IDEMPOTENT:
        return Repeatability.REPEATABLE
    if body.kind == STREAMING and body.resumable:
        return Repeatability.RESUMABLE
    return Repeatability.ONCE


def _service(body: ServiceBody) -> RoutedService:
    engine = body.engine
    return RoutedService(
        name=body.name,
        max_connections=body.max_connections,
        memory_tokens=0 if engine is None else engine.kv_capacity_tokens,
    )


def _limits(body: LimitsBody) -> RequestLimits:
    return RequestLimits(
        body.max_header_bytes,
        body.max_body_bytes,
        _duration(body.header_timeout_ms),
        _duration(body.idle_timeout_ms),
    )


def _duration(milliseconds: float) -> timedelta:
    return timedelta(milliseconds=milliseconds)
