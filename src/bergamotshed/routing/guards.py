"""
bergamotshed.routing.guards
~~~~~~~~~~~~~~~~~~~~~~~~~~~

What a home consults in addition to the load: which models upstreams have
loaded, and which requests are quarantined.
"""

__all__ = ('Guards',)

from dataclasses import dataclass, field

from .quarantine import Quarantine
from .readiness import AlwaysReady, Readiness


@dataclass(frozen=True, slots=True)
class Guards:
    """State of this router that all of its homes share.

    :ivar quarantine: ``None`` where no request is ever quarantined
    """

    readiness: Readiness = field(default_factory=AlwaysReady)
    quarantine: Quarantine | None = None

    def is_quarantined(self, fingerprint: int) -> bool:
        """Return whether a request must not run any more."""
        if self.quarantine is None:
            return False
        return fingerprint in self.quarantine.quarantined

    def crashed_by(self, fingerprint: int) -> tuple[str, ...]:
        """Return the upstreams that crashed while they ran a request."""
        if self.quarantine is None:
            return ()
        return self.quarantine.crashed_by(fingerprint)
