"""
bergamotshed.routers.withdrawnnotices
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tells the other routers which upstreams stated that they leave, in heartbeats.
"""

__all__ = ('hear_withdrawn', 'withdrawn_keys')

import random

from ..routing.upstream_loads import upstream_key
from ..upstreams.registry import UpstreamRegistry
from .messages import GatewayHeartbeat

#: Upstreams in a heartbeat; five bytes each. Of more, each heartbeat names a
#: random choice.
MAX_TOLD = 16


def withdrawn_keys(registry: UpstreamRegistry) -> tuple[int, ...]:
    """Return the keys of the upstreams that the next heartbeat names."""
    keys = [
        upstream_key(instance.incarnation)
        for instance in registry.instances.values()
        if instance.incarnation in registry.withdrawn
    ]
    return tuple(random.sample(keys, min(MAX_TOLD, len(keys))))


def hear_withdrawn(
    registry: UpstreamRegistry, peer: str, heartbeat: GatewayHeartbeat
) -> None:
    """Record which listed upstreams left by the word of a peer."""
    if not heartbeat.withdrawn:
        return
    told = set(heartbeat.withdrawn)
    for instance in tuple(registry.instances.values()):
        if upstream_key(instance.incarnation) in told:
            registry.record_leaving(instance.incarnation, peer)
