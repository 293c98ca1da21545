"""
bergamotshed.forwarding.control_probes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Connects to upstreams to tell the crash of one from a router that reaches none.
"""

__all__ = ('ControlProbes',)

import asyncio
import random

from ..upstreams.liveness import LivenessChecks
from ..upstreams.registry import UpstreamRegistry
from ..upstreams.types import Instance

#: Upstreams that are connected to for a comparison.
CONTROL_PROBES = 8


class ControlProbes:
    """Compares an upstream with others that are drawn at random."""

    def __init__(
        self, registry: UpstreamRegistry, checks: LivenessChecks
    ) -> None:
        self._registry = registry
        self._checks = checks

    async def is_alive(self, address: str, since: float) -> bool:
        """Return whether an upstream can be connected to.

        :param since: monotonic time from which on a check counts
        """
        return await self._checks.is_alive(address, since)

    async def find_reachable(
        self, since: float, unlike: Instance | None = None
    ) -> Instance | None:
        """Return an upstream that can be connected to, if one is found.

        :param since: monotonic time from which on a check counts
        :param unlike: the upstream to compare with; it is not drawn
        """
        others = [
            other
            for other in self._registry.instances.values()
            if unlike is None or other.address != unlike.address
        ]
        drawn = random.sample(others, min(len(others), CONTROL_PROBES))
        answers = await asyncio.gather(
            *(self._checks.is_alive(other.address, since) for other in drawn)
        )
        for other, is_alive in zip(drawn, answers, strict=True):
            if is_alive:
                return other
        return None
