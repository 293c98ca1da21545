"""
bergamotshed.inspection
~~~~~~~~~~~~~~~~~~~~~~~

What operators can see of a router: its state dump, health and metrics.
"""

__all__ = ('InspectedParts', 'build_operators_server')

from collections.abc import Iterator
from dataclasses import asdict, dataclass

from .callers.server import CallersServer
from .control.claims import LogClaims
from .control.configuration import ConfigurationFollower
from .control.leases import LeaseKeeper
from .control.reconcile import Reconciler
from .control.types import ConfigurationInForce
from .engines.watch import EngineReports
from .operators.server import HealthReport, OperatorsServer, Provider
from .process.drain import Drain, DrainPhase
from .process.journal import Journal
from .process.metrics import Meters, Sample
from .process.traffic import Traffic
from .routers.mesh import PeerMesh
from .routers.placer import HomePlacer
from .routing.home import HomeState
from .routing.membership import Membership
from .routing.quarantine import Quarantine
from .routing.types import Upstream
from .routing.view import RouterNode
from .settings import Settings


@dataclass(frozen=True, slots=True)
class InspectedParts:
    """The parts that are looked at."""

    configuration: ConfigurationInForce
    traffic: Traffic
    reports: EngineReports
    membership: Membership
    mesh: PeerMesh
    placer: HomePlacer
    quarantine: Quarantine
    server: CallersServer
    claims: LogClaims
    follower: ConfigurationFollower
    lease: LeaseKeeper
    reconciler: Reconciler
    drain: Drain


@dataclass(frozen=True, slots=True)
class TrafficState:
    """Control traffic since the start.

    :ivar bytes_per_second: mean of both directions
    """

    bytes_per_second: float
    peers: dict[str, dict[str, int]]


@dataclass(frozen=True, slots=True)
class FleetState:
    """The fleet as this router sees it."""

    routers: tuple[RouterNode, ...]
    upstreams: tuple[Upstream, ...]
    suspicions: dict[str, object]


@dataclass(frozen=True, slots=True)
class RequestsState:
    """Requests at this router.

    :ivar pending_claims: outcomes that wait for the log
    """

    in_flight: int
    phase: str
    pending_claims: int


def build_operators_server(
    settings: Settings, inspected: InspectedParts, journal: Journal
) -> OperatorsServer:
    """Build the server with every part of the state dump and all metrics."""
    meters = Meters(settings.router.name)
    _declare_metrics(meters, inspected)
    server = OperatorsServer(
        settings.operators.host,
        settings.operators.port,
        lambda: _health(settings.router.name, inspected),
        journal,
        meters.exposition,
        inspected.placer.explain,
    )
    _register_state(server, inspected)
    return server


def _register_state(server: OperatorsServer, inspected: InspectedParts) -> None:
    providers: dict[str, Provider] = {
        'configuration': lambda: inspected.follower.status,
        'fleet': lambda: _fleet(inspected),
        'traffic': lambda: _traffic(inspected.traffic),
        'requests': lambda: _requests(inspected),
        'placement': lambda: inspected.placer.counters,
        'homes': inspected.placer.home_states,
        'mesh': lambda: inspected.mesh.counters,
        'engines': lambda: inspected.reports.latest_reports,
        'lease': lambda: inspected.lease.state,
        'reconciler': lambda: inspected.reconciler.state,
        'quarantine': inspected.quarantine.export,
    }
    for name, provider in providers.items():
        server.register(name, provider)


def _health(name: str, inspected: InspectedParts) -> HealthReport:
    version = inspected.configuration.version
    phase = inspected.drain.phase
    reason = ''
    if version < 0:
        reason = 'no configuration is in force'
    elif phase is not DrainPhase.SERVING:
        reason = 'a planned stop has begun'
    return HealthReport(name, not reason, phase.value, version, reason)


def _fleet(inspected: InspectedParts) -> FleetState:
    membership = inspected.membership
    return FleetState(
        routers=membership.routers(),
        upstreams=tuple(
            upstream
            for service in membership.services
            for upstream in membership.upstreams(service)
        ),
        suspicions=dict(membership.health.suspicions),
    )


def _traffic(traffic: Traffic) -> TrafficState:
    return TrafficState(
        traffic.rate(),
        {peer: asdict(count) for peer, count in traffic.by_peer.items()},
    )


def _requests(inspected: InspectedParts) -> RequestsState:
    return RequestsState(
        inspected.server.in_flight,
        inspected.drain.phase.value,
        inspected.claims.pending,
    )


def _declare_metrics(meters: Meters, inspected: InspectedParts) -> None:
    meters.counter(
        'bergamotshed_control_bytes',
        'By',
        'control traffic: all but requests and their answers',
        lambda: _control_bytes(inspected.traffic),
    )
    meters.counter(
        'bergamotshed_placements',
        '1',
        'how requests got their places',
        lambda: _placements(inspected.placer),
    )
    meters.gauge(
        'bergamotshed_in_flight',
        '1',
        'requests that callers wait for',
        lambda: (Sample(inspected.server.in_flight),),
    )
    meters.gauge(
        'bergamotshed_configuration_version',
        '1',
        'log offset of the configuration in force',
        lambda: (Sample(inspected.configuration.version),),
    )
    meters.gauge(
        'bergamotshed_suspect_upstreams',
        '1',
        'upstreams that this router suspects',
        lambda: (Sample(len(inspected.membership.health.suspicions)),),
    )
    meters.gauge(
        'bergamotshed_upstream_load',
        '1',
        'requests in flight on an upstream, at the home of its service',
        lambda: _upstream_load(inspected.placer.home_states()),
    )


def _control_bytes(traffic: Traffic) -> Iterator[Sample]:
    for peer, count in traffic.by_peer.items():
        yield Sample(count.sent, {'peer': peer, 'direction': 'sent'})
        yield Sample(count.received, {'peer': peer, 'direction': 'received'})


def _placements(placer: HomePlacer) -> Iterator[Sample]:
    for how, count in asdict(placer.counters).items():
        yield Sample(count, {'how': how})


def _upstream_load(states: tuple[HomeState, ...]) -> Iterator[Sample]:
    for state in states:
        for upstream, count in state.in_flight.items():
            yield Sample(
                count, {'service': state.service, 'upstream': upstream}
            )
