"""
tests.cluster_plan
~~~~~~~~~~~~~~~~~~

The processes of a test cluster, with their settings and configuration.
"""

__all__ = ('SETTINGS', 'ClusterPlan', 'example_fleet')

import sys
from dataclasses import dataclass, field
from typing import Any

from bergamotshed.fleet import (
    Fleet,
    LiveModel,
    Organisation,
    Service,
    ServiceKind,
)

SETTINGS = """
[router]
name = {name}
domain = {domain}
[callers]
host = {host}
port = {callers}
max_body = {max_body}
[peers]
host = {host}
port = {peers}
seeds = {seeds}
[operators]
host = {host}
port = {operators}
[platform]
log = http://{log}
vms = http://{vms}/v1/vms
weights = http://{weights}
[control]
lease_ttl = {lease}
lease_margin = 500ms
unfenced_wait = 500ms
reconcile_every = 500ms
[engines]
idle_timeout = {idle}
[security]
token_key = 000102030405060708090a0b0c0d0e0f
"""


@dataclass(frozen=True, slots=True)
class ClusterPlan:
    """The number of processes of each kind, and their options.

    :ivar engines: number of engines, by service
    :ivar plain_services: number of VMs, by plain service
    :ivar engine_options: command-line options of every engine
    :ivar idle_timeout: idle timeout of engine streams in the router settings
    :ivar lease_ttl: validity of the control lease
    :ivar router_command: command that starts a router; the package by default
    :ivar max_body: size of the largest request body in bytes
    :ivar has_log_relays: whether each router has its own relay to the log
    """

    engines: dict[str, int] = field(default_factory=lambda: {'drafting': 2})
    plain_services: dict[str, int] = field(default_factory=dict)
    routers: int = 4
    engine_options: tuple[str, ...] = ('--token-ms', '4')
    idle_timeout: str = '15s'
    lease_ttl: str = '3s'
    entries_lifetime: int = 1
    router_command: tuple[str, ...] = (sys.executable, '-m', 'bergamotshed')
    max_body: int = 2_097_152
    has_log_relays: bool = False


def example_fleet(plan: ClusterPlan, **changes: Any) -> Fleet:
    """Return a fleet configuration with the plan's services."""
    models = {'drafting': 'route-notes', 'booking': 'slot-assistant'}
    engines = tuple(
        Service(name, models=(LiveModel(models[name], 'v1'),), **changes)
        for name in plan.engines
    )
    plain = tuple(
        Service(name, kind=ServiceKind.PLAIN, at_most_once=('book',))
        for name in plan.plain_services
    )
    services = (*engines, *plain)
    names = tuple(service.name for service in services)
    return Fleet(
        services=services,
        organisations=tuple(
            Organisation(name, services=names)
            for name in ('quito-central', 'sierra-norte', 'loja')
        ),
        entries_lifetime=plan.entries_lifetime,
    )
