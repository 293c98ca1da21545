"""
bergamotshed.gateway.inspection
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What operators can inspect of a gateway: its state dump, health and metrics.
"""

__all__ = ('health_report', 'register_inspection')

from collections.abc import Iterator
from dataclasses import dataclass

from ..operators.server import HealthReport, Provider
from ..process.metrics import Sample
from ..upstreams.types import Instance
from .parts import Gateway


@dataclass(frozen=True, slots=True)
class ConfigurationState:
    """The configuration in force.

    :ivar age: seconds since the store confirmed it
    :ivar routes: number of its routes
    """

    version: int
    age: float
    routes: int


@dataclass(frozen=True, slots=True)
class UpstreamSnapshot:
    """One upstream as this router sees it.

    :ivar listed: the upstream as the store lists it
    :ivar in_flight: requests that this router has in flight there
    :ivar pressure: estimated requests in flight there from all routers
    :ivar ejected: it gets no new requests for a while after failures
    """

    listed: Instance
    in_flight: int
    pressure: int
    ejected: bool


@dataclass(frozen=True, slots=True)
class SlotState:
    """The slots of a service whose home is this router.

    :ivar in_flight: requests in flight for each upstream
    :ivar waiting: requests that wait for a slot
    """

    in_flight: dict[str, int]
    waiting: int


@dataclass(frozen=True, slots=True)
class RequestState:
    """Requests at this router.

    :ivar ended: finished requests since the start, by outcome
    :ivar retry_allowance: retries that each service may still make
    """

    in_flight: int
    ended: dict[str, int]
    retry_allowance: dict[str, float]


@dataclass(frozen=True, slots=True)
class ReachState:
    """Whether this router reaches the upstreams, and what they say.

    :ivar lost_services: services whose upstreams it can't connect to
    :ivar relayed: requests of peers that it forwards now
    :ivar brittle_services: services whose upstreams say that they are brittle
    """

    lost_services: list[str]
    relayed: int
    brittle_services: list[str]


def register_inspection(gateway: Gateway) -> None:
    """Register the state dump and the metrics of a gateway."""
    fleet = gateway.fleet
    providers: dict[str, Provider] = {
        'configuration': lambda: _configuration_state(gateway),
        'upstreams': lambda: list(_upstream_snapshots(gateway)),
        'routers': lambda: fleet.roster.entries,
        'beats': lambda: fleet.heartbeats.latest_heartbeats,
        'slots': lambda: _slot_states(gateway),
        'prompts': lambda: _prompt_counts(gateway),
        'streams': lambda: {'known': len(fleet.shared.origins.memory)},
        'reach': lambda: _reach_state(gateway),
        'requests': lambda: _request_state(gateway),
        'quarantine': fleet.crashes.quarantine.export,
        'intake': lambda: gateway.edge.intake.state,
    }
    for name, provider in providers.items():
        gateway.operators.register(name, provider)
    _declare_metrics(gateway)
    _declare_reach_metrics(gateway)


def health_report(gateway: Gateway) -> HealthReport:
    """Return the health of the process."""
    reason = gateway.unready_reason
    return HealthReport(
        name=gateway.settings.node.name,
        ready=not reason,
        phase='stopping' if gateway.shutdown.is_stopping else 'serving',
        configuration=gateway.fleet.routing.version,
        reason=reason,
    )


def _configuration_state(gateway: Gateway) -> ConfigurationState:
    routing = gateway.fleet.routing
    routes = 0 if routing.table is None else routing.table.size
    return ConfigurationState(routing.version, routing.age, routes)


def _upstream_snapshots(gateway: Gateway) -> Iterator[UpstreamSnapshot]:
    loads = gateway.forwarding.loads
    for instance in gateway.fleet.registry.instances.values():
        yield UpstreamSnapshot(
            instance,
            loads.load_of(instance).in_flight,
            loads.estimate_load(instance),
            loads.is_ejected(instance),
        )


def _request_state(gateway: Gateway) -> RequestState:
    retries = gateway.forwarding.retries
    return RequestState(
        gateway.in_flight,
        gateway.metrics.requests.totals,
        {service: retries.allowance(service) for service in retries.services},
    )


def _declare_metrics(gateway: Gateway) -> None:
    meters = gateway.metrics.meters
    fleet = gateway.fleet
    forwarding = gateway.forwarding
    meters.gauge(
        'bergamotshed_configuration_age',
        's',
        'Time since the store confirmed the configuration',
        lambda: [Sample(min(fleet.routing.age, 1e6))],
    )
    meters.gauge(
        'bergamotshed_configuration_version',
        '1',
        'Version of the configuration in force',
        lambda: [Sample(fleet.routing.version)],
    )
    meters.gauge(
        'bergamotshed_in_flight',
        '1',
        'Routed requests that are being answered',
        lambda: [Sample(gateway.in_flight)],
    )
    meters.counter(
        'bergamotshed_store_calls',
        '1',
        'Calls to the store by outcome',
        lambda: [
            Sample(count, {'outcome': outcome})
            for outcome, count in fleet.store_health.calls.items()
        ],
    )
    meters.counter(
        'bergamotshed_store_returns',
        '1',
        'Returns of the store from an older copy',
        lambda: [Sample(fleet.store_health.return_count)],
    )
    meters.counter(
        'bergamotshed_control_bytes',
        'By',
        'Bytes between this router and the others',
        lambda: [Sample(fleet.traffic.total)],
    )
    meters.counter(
        'bergamotshed_upstream_connections',
        '1',
        'Connections made to upstreams',
        lambda: [Sample(forwarding.pool.opened_count)],
    )
    meters.gauge(
        'bergamotshed_upstream_load',
        '1',
        'Requests of this router at each upstream',
        lambda: [
            Sample(
                forwarding.loads.load_of(instance).in_flight,
                {'upstream': instance.name},
            )
            for instance in fleet.registry.instances.values()
        ],
    )


def _declare_reach_metrics(gateway: Gateway) -> None:
    meters = gateway.metrics.meters
    meters.gauge(
        'bergamotshed_lost_services',
        '1',
        'Services of which this router reaches no upstream',
        lambda: [Sample(len(gateway.fleet.prober.lost_services))],
    )
    meters.counter(
        'bergamotshed_relayed_requests',
        '1',
        'Requests received from peers that reach no upstream',
        lambda: [Sample(gateway.relay.received_count)],
    )
    meters.gauge(
        'bergamotshed_upstreams_set_aside',
        '1',
        'Listed upstreams that get no requests by their own word',
        lambda: [
            Sample(count, {'reason': reason})
            for reason, count in _count_set_aside(gateway).items()
        ],
    )


def _count_set_aside(gateway: Gateway) -> dict[str, int]:
    registry = gateway.fleet.registry
    limits = gateway.fleet.shared.rates.known
    listed = {instance.incarnation for instance in registry.instances.values()}
    return {
        'leaving': len(listed & registry.withdrawn),
        'pause': sum(bool(limits.time_paused(each)) for each in listed),
    }


def _reach_state(gateway: Gateway) -> ReachState:
    return ReachState(
        sorted(gateway.fleet.prober.lost_services),
        gateway.relay.in_flight,
        sorted(gateway.fleet.shared.slots.brittle.services),
    )


def _slot_states(gateway: Gateway) -> dict[str, SlotState]:
    return {
        service: SlotState(home.in_flight, home.waiting)
        for service, home in gateway.fleet.shared.slots.homes.items()
    }


def _prompt_counts(gateway: Gateway) -> dict[str, int]:
    """Return the number of known subjects and of those with a home here."""
    prompts = gateway.fleet.shared.prompts
    return {'known': len(prompts.memory), 'home_of': prompts.home_subject_count}
