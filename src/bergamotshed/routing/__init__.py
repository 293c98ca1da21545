"""
bergamotshed.routing
~~~~~~~~~~~~~~~~~~~~

Routing decisions: where a request goes, whether it is admitted, and what
happens after a failure. This package does no network I/O.
"""

__all__ = (
    'Outcome',
    'Placement',
    'PlacementRequest',
    'Placer',
    'Upstream',
    'UpstreamState',
)

from .types import (
    Outcome,
    Placement,
    PlacementRequest,
    Placer,
    Upstream,
    UpstreamState,
)
