"""
bergamotshed.upstreams.reach_prober
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Finds out whether a way to the upstreams of a service is lost, or back.
"""

__all__ = ('ReachProber',)

import asyncio
from collections.abc import Callable, Iterable
from datetime import timedelta

from eliot import log_message

from ..clock import Clock
from .pool import ConnectionPool
from .registry import UpstreamRegistry
from .types import Instance, UpstreamNotReached

#: Time between two checks of whether a way is lost, or back.
CHECK_INTERVAL = timedelta(milliseconds=200)
#: Upstreams of a service that are connected to in each check.
PROBED_UPSTREAMS = 4


class ReachProber:
    """Probes the upstreams of services that this router may not reach.

    :param services: returns the names of all services
    :ivar pool: opens the connections
    """

    def __init__(
        self,
        registry: UpstreamRegistry,
        pool: ConnectionPool,
        services: Callable[[], Iterable[str]],
        clock: Clock,
    ) -> None:
        self._registry = registry
        self.pool = pool
        self._services = services
        self._clock = clock
        self._lost: frozenset[str] = frozenset()

    @property
    def lost_services(self) -> frozenset[str]:
        """Return the services that this router does not reach."""
        return self._lost

    async def run(self) -> None:
        """Check periodically until cancelled."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL)
            await self.check()

    async def check(self) -> None:
        """Update the lost services and probe upstreams of suspect ones."""
        reach = self.pool.reach
        suspect = [
            service
            for service in self._services()
            if reach.is_suspect(self._registry.members(service))
        ]
        lost = frozenset(
            service
            for service in suspect
            if reach.is_lost(self._registry.members(service))
        )
        for service in lost ^ self._lost:
            log_message(
                'upstreams.lost' if service in lost else 'upstreams.regained',
                service=service,
                listed=len(self._registry.members(service)),
            )
        self._lost = lost
        await asyncio.gather(
            *(self._probe(instance) for instance in self._draw(suspect))
        )

    def _draw(self, services: Iterable[str]) -> list[Instance]:
        drawn: list[Instance] = []
        for service in services:
            members = self._registry.members(service)
            ordered = self.pool.reach.by_last_failure(members)
            drawn += ordered[:PROBED_UPSTREAMS]
        return drawn

    async def _probe(self, instance: Instance) -> None:
        try:
            await self.pool.probe(instance.address)
        except UpstreamNotReached as error:
            log_message(
                'upstreams.probe_failed',
                upstream=instance.name,
                detail=str(error),
            )
