"""
bergamotshed.routing.health_placer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Records the outcome of every attempt as evidence of an upstream's health.
"""

__all__ = ('HealthRecordingPlacer',)

from ..reasons import Refusal
from .health import UpstreamHealth
from .types import Outcome, Placement, PlacementRequest, Placer


class HealthRecordingPlacer(Placer):
    """Records outcomes and delegates the placement to another placer.

    :param placer: the placer that makes the reservations
    """

    def __init__(self, placer: Placer, health: UpstreamHealth) -> None:
        self._placer = placer
        self._health = health

    async def place(self, request: PlacementRequest) -> Placement | Refusal:
        """Reserve a slot, waiting at most until the deadline."""
        return await self._placer.place(request)

    def release(
        self,
        request: PlacementRequest,
        placement: Placement,
        outcome: Outcome,
        cached: int = 0,
    ) -> None:
        """Record the outcome and release the slot."""
        self._health.record_outcome(placement.upstream.name, outcome)
        self._placer.release(request, placement, outcome, cached)
