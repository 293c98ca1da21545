"""
bergamotshed.inspection
~~~~~~~~~~~~~~~~~~~~~~~

What operators can inspect of a router: its state dump, health and metrics.
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
from .intake.intake import Intake
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
    """The parts of a router whose state operators can inspect."""

    configuration: ConfigurationInForce
    traffic: Traffic
    intake: Intake
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
    """Control traffic since the process started.

    :ivar bytes_per_second: mean rate, both directions together
    :ivar peers: counts of sent and received bytes and messages by peer
    """

    bytes_per_second: float
    peers: dict[str, dict[str, int]]


@dataclass(frozen=True, slots=True)
class FleetState:
    """The fleet as this router sees it.

    :ivar suspicions: evidence against the suspect upstreams, by name
    """

    routers: tuple[RouterNode, ...]
    upstreams: tuple[Upstream, ...]
    suspicions: dict[str, object]


@dataclass(frozen=True, slots=True)
class RequestsState:
    """Requests at this router.

    :ivar phase: phase of the drain
    :ivar pending_claims: outcomes of claims not yet written to the log
    """

    in_flight: int
    phase: str
    pending_claims: int


def build_operators_server(
    settings: Settings, parts: InspectedParts, journal: Journal
) -> OperatorsServer:
    """Build the server with every part of the state dump and all metrics."""
    meters = Meters(settings.router.name)
    _declare_metrics(meters, parts)
    server = OperatorsServer(
        settings.operators.host,
        settings.operators.port,
        lambda: _health_report(settings.router.name, parts),
        journal,
        parts.intake,
        meters.exposition,
        parts.placer.explain,
    )
    _register_state(server, parts)
    return server


def _register_state(server: OperatorsServer, parts: InspectedParts) -> None:
    providers: dict[str, Provider] = {
        'configuration': lambda: parts.follower.status,
        'fleet': lambda: _fleet_state(parts),
        'traffic': lambda: _traffic_state(parts.traffic),
        'requests': lambda: _requests_state(parts),
        'placement': lambda: parts.placer.counters,
        'homes': parts.placer.home_states,
        'mesh': lambda: parts.mesh.counters,
        'engines': lambda: parts.reports.latest_reports,
        'lease': lambda: parts.lease.state,
        'reconciler': lambda: parts.reconciler.state,
        'quarantine': parts.quarantine.export,
        'intake': lambda: parts.intake.state,
    }
    for name, provider in providers.items():
        server.register(name, provider)


def _health_report(name: str, parts: InspectedParts) -> HealthReport:
    version = parts.configuration.version
    phase = parts.drain.phase
    reason = ''
    if version < 0:
        reason = 'no configuration is in force'
    elif phase is not DrainPhase.SERVING:
        reason = 'a planned stop has begun'
    return HealthReport(name, not reason, phase.value, version, reason)


def _fleet_state(parts: InspectedParts) -> FleetState:
    membership = parts.membership
    return FleetState(
        routers=membership.routers(),
        upstreams=tuple(
            upstream
            for service in membership.services
            for upstream in membership.upstreams(service)
        ),
        suspicions=dict(membership.health.suspicions),
    )


def _traffic_state(traffic: Traffic) -> TrafficState:
    return TrafficState(
        traffic.rate(),
        {peer: asdict(count) for peer, count in traffic.by_peer.items()},
    )


def _requests_state(parts: InspectedParts) -> RequestsState:
    return RequestsState(
        parts.server.in_flight,
        parts.drain.phase.value,
        parts.claims.pending,
    )


def _declare_metrics(meters: Meters, parts: InspectedParts) -> None:
    meters.counter(
        'bergamotshed_control_bytes',
        'By',
        'control traffic: all but requests and their answers',
        lambda: _control_bytes(parts.traffic),
    )
    meters.counter(
        'bergamotshed_placements',
        '1',
        'how requests got their places',
        lambda: _placements(parts.placer),
    )
    meters.gauge(
        'bergamotshed_in_flight',
        '1',
        'requests that callers wait for',
        lambda: (Sample(parts.server.in_flight),),
    )
    meters.gauge(
        'bergamotshed_configuration_version',
        '1',
        'log offset of the configuration in force',
        lambda: (Sample(parts.configuration.version),),
    )
    meters.gauge(
        'bergamotshed_suspect_upstreams',
        '1',
        'upstreams that this router suspects',
        lambda: (Sample(len(parts.membership.health.suspicions)),),
    )
    meters.gauge(
        'bergamotshed_upstream_load',
        '1',
        'requests in flight on an upstream, at the home of its service',
        lambda: _upstream_loads(parts.placer.home_states()),
    )


def _control_bytes(traffic: Traffic) -> Iterator[Sample]:
    for peer, count in traffic.by_peer.items():
        yield Sample(count.sent, {'peer': peer, 'direction': 'sent'})
        yield Sample(count.received, {'peer': peer, 'direction': 'received'})


def _placements(placer: HomePlacer) -> Iterator[Sample]:
    for how, count in asdict(placer.counters).items():
        yield Sample(count, {'how': how})


def _upstream_loads(states: tuple[HomeState, ...]) -> Iterator[Sample]:
    for state in states:
        for upstream, count in state.in_flight.items():
            yield Sample(
                count, {'service': state.service, 'upstream': upstream}
            )
