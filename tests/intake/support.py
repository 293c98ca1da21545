"""
tests.intake.support
~~~~~~~~~~~~~~~~~~~~

An account for servers in tests.
"""

__all__ = ('make_intake',)

from bergamotshed.clock import Clock, SystemClock
from bergamotshed.intake.intake import Intake
from bergamotshed.intake.limits import derive_limits

MEMORY_BYTES = 450_000_000
DESCRIPTORS = 6000


def make_intake(clock: Clock | None = None) -> Intake:
    """Return the account of a small VM."""
    return Intake(
        derive_limits(MEMORY_BYTES, DESCRIPTORS), clock or SystemClock()
    )
