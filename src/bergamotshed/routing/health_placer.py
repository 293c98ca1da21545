"""
bergamotshed.routing.health_placer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Takes the end of every attempt as evidence of an upstream's health.
"""

__all__ = ('HealthRecordingPlacer',)

from ..reasons import Refusal
from .health import UpstreamHealth
from .types import Outcome, Placement, PlacementRequest, Placer


class HealthRecordingPlacer(Placer):
    """Tells health what it sees and leaves the placing to another placer.

    :param placer: decides and keeps the reservations
    """

    def __init__(self, placer: Placer, health: UpstreamHealth) -> None:
        self._placer = placer
        self._health = health

    async def place(self, request: PlacementRequest) -> Placement | Refusal:
        """Reserve a place, waiting at most until the deadline."""
        return await self._placer.place(request)

    def release(
        self,
        request: PlacementRequest,
        placement: Placement,
        outcome: Outcome,
        cached: int = 0,
    ) -> None:
        """Note the outcome and give the place back."""
        self._health.record_outcome(placement.upstream.name, outcome)
        self._placer.release(request, placement, outcome, cached)
