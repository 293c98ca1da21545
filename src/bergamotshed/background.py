"""
bergamotshed.background
~~~~~~~~~~~~~~~~~~~~~~~

Builds what a router does beside requests: control of the engines, and the
tasks that keep its data up to date. Called by the composition root.
"""

__all__ = ('build_control_parts', 'task_functions')

from .control.configuration import ConfigurationFollower
from .control.lease_writer import LeaseOptions
from .control.leases import LeaseKeeper
from .control.reconcile import Reconciler, ReconcilerOptions
from .control.refresh import ConfigurationRefresher
from .engines.watch import EngineWatcher
from .fleet import ServiceKind
from .parts import ControlParts, CoreParts, FleetParts, TaskFunction
from .routing.types import Upstream
from .vms.client import HttpVmList
from .vms.watch import VmWatcher
from .weights.client import HttpWeightStore
from .weights.rate_limiter import RateLimitedWeightStore, RateLimiter
from .weights.types import WeightStore

CONTROL_LEASE = 'control'


def build_control_parts(
    core_parts: CoreParts, fleet_parts: FleetParts
) -> ControlParts:
    """Build the parts that follow and apply the fleet's configuration."""
    options = core_parts.settings.control
    clock = core_parts.clock
    follower = ConfigurationFollower(
        core_parts.log,
        core_parts.configuration,
        clock,
        fleet_parts.configurations.pull,
    )
    lease = LeaseKeeper(
        core_parts.log,
        LeaseOptions(CONTROL_LEASE, options.lease_ttl, options.lease_margin),
        core_parts.settings.router.name,
        clock,
        core_parts.rng,
    )
    refresher = ConfigurationRefresher(
        core_parts.log, lease, follower, clock, options.refresh_every
    )
    reconciler = Reconciler(
        lease,
        core_parts.configuration,
        fleet_parts.membership,
        core_parts.engines,
        _build_weight_store(core_parts),
        clock,
        ReconcilerOptions(options.reconcile_every, options.unfenced_wait),
    )
    return ControlParts(follower, lease, refresher, reconciler)


def _build_weight_store(core_parts: CoreParts) -> WeightStore | None:
    url = core_parts.settings.platform.weights
    if not url:
        return None
    return RateLimitedWeightStore(
        HttpWeightStore(url, core_parts.session, core_parts.traffic.count),
        RateLimiter(
            core_parts.clock, core_parts.settings.platform.weights_rate
        ),
    )


def task_functions(
    core_parts: CoreParts, fleet_parts: FleetParts, control_parts: ControlParts
) -> list[TaskFunction]:
    """Return the background tasks of a router."""
    settings = core_parts.settings
    watcher = VmWatcher(
        HttpVmList(
            settings.platform.vms, core_parts.session, core_parts.traffic.count
        ),
        fleet_parts.membership.update_list,
        settings.peers.port,
        core_parts.clock,
    )
    engines = EngineWatcher(
        core_parts.engines,
        core_parts.reports,
        lambda: _engines_with_home_here(core_parts, fleet_parts),
        lambda engine: _has_expected_models(core_parts, engine),
        core_parts.clock,
    )
    return [
        watcher.run,
        engines.run,
        fleet_parts.heartbeats.run,
        fleet_parts.crashes.exchange.run,
        core_parts.service_connections.run,
        control_parts.follower.run,
        control_parts.lease.run,
        control_parts.refresher.run,
        control_parts.reconciler.run,
    ]


def _has_expected_models(core_parts: CoreParts, engine: Upstream) -> bool:
    """Return whether an engine reports the models that all must load."""
    service = core_parts.configuration.fleet.service(engine.service)
    if service is None:
        return True
    return all(
        core_parts.reports.can_serve(
            engine.name, '+'.join((f'{live.name}@{live.version}', *adapter))
        )
        for live in service.models
        if not live.engines
        for adapter in ((), *((name,) for name in live.adapters))
    )


def _engines_with_home_here(
    core_parts: CoreParts, fleet_parts: FleetParts
) -> list[Upstream]:
    """Return the engines of the services for which this router is a home."""
    services_with_home_here = {
        service
        for service, _ in fleet_parts.placer.home_manager.home_partitions()
    }
    return [
        upstream
        for service in core_parts.configuration.fleet.services
        if service.kind is ServiceKind.ENGINE
        and service.name in services_with_home_here
        for upstream in fleet_parts.membership.upstreams(service.name)
    ]
