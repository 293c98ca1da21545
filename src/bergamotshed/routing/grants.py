"""
bergamotshed.routing.grants
~~~~~~~~~~~~~~~~~~~~~~~~~~~

The open reservations of a home.
"""

__all__ = ('Grant', 'GrantTable')

from collections.abc import Iterable
from dataclasses import dataclass

from ..clock import Clock
from .admission import Admission
from .identical import IdenticalRuns
from .types import Outcome

NEVER_RAN = frozenset((Outcome.REFUSED, Outcome.UNREACHABLE))


@dataclass(frozen=True, slots=True)
class Grant:
    """One reservation.

    :ivar history: tokens of the chat's history
    :ivar is_suspect: the request may be the cause of a crash
    """

    organisation: str
    chat: int
    upstream: str
    history: int
    is_suspect: bool = False
    fingerprint: int = 0


class GrantTable:
    """Tracks open reservations and the slots that organisations hold."""

    def __init__(self, admission: Admission, clock: Clock) -> None:
        self._admission = admission
        self.identical = IdenticalRuns(clock)
        self._grants: dict[int, Grant] = {}
        self._suspects: dict[int, str] = {}

    def __len__(self) -> int:
        """Return how many reservations are open."""
        return len(self._grants)

    def open(self, number: int, grant: Grant) -> None:
        """Add a new reservation."""
        self._grants[number] = grant
        self._admission.record_start(grant.organisation)
        self.identical.record_start(grant.fingerprint)
        if grant.is_suspect:
            self._suspects[number] = grant.upstream

    def close(self, number: int, outcome: Outcome) -> Grant | None:
        """Remove a reservation; ``None`` if it is not open."""
        grant = self._grants.pop(number, None)
        if grant is None:
            return None
        self._suspects.pop(number, None)
        is_cut = outcome is Outcome.CUT
        self.identical.record_end(
            grant.fingerprint, grant.upstream, was_cut=is_cut
        )
        self._admission.record_end(
            grant.organisation, has_run=outcome not in NEVER_RAN
        )
        return grant

    def close_all(self, numbers: Iterable[int]) -> None:
        """Remove reservations that are no longer held by their routers."""
        for number in numbers:
            self.close(number, Outcome.UNREACHABLE)

    def closed_to_suspects(self) -> frozenset[str]:
        """Return the upstreams that may take no suspect request now.

        One is already running there, or the upstream may just have crashed
        on one, and a second one would then be cut by the same crash.
        """
        return self.identical.cut_upstreams().union(self._suspects.values())
