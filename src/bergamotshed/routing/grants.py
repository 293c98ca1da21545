"""
bergamotshed.routing.grants
~~~~~~~~~~~~~~~~~~~~~~~~~~~

What a home remembers of each reservation until it is released.
"""

__all__ = ('Grant', 'GrantBook')

from collections.abc import Iterable
from dataclasses import dataclass

from ..clock import Clock
from .admission import Admission
from .identical import IdenticalRuns
from .types import Outcome

NEVER_RAN = frozenset((Outcome.REFUSED, Outcome.UNREACHABLE))


@dataclass(frozen=True, slots=True)
class Grant:
    """One reservation."""

    organisation: str
    chat: int
    upstream: str
    history: int
    suspect: bool = False
    fingerprint: int = 0


class GrantBook:
    """Keeps the open reservations in step with the organisations' slots."""

    def __init__(self, admission: Admission, clock: Clock) -> None:
        self._admission = admission
        self.identical = IdenticalRuns(clock)
        self._grants: dict[int, Grant] = {}
        self._suspects: dict[int, str] = {}

    def __len__(self) -> int:
        """Return how many reservations are open."""
        return len(self._grants)

    def open(self, number: int, grant: Grant) -> None:
        """Enter a new reservation."""
        self._grants[number] = grant
        self._admission.started(grant.organisation)
        self.identical.record_start(grant.fingerprint)
        if grant.suspect:
            self._suspects[number] = grant.upstream

    def close(self, number: int, outcome: Outcome) -> Grant | None:
        """Strike a reservation out; ``None`` if it is not open."""
        grant = self._grants.pop(number, None)
        if grant is None:
            return None
        self._suspects.pop(number, None)
        cut = outcome is Outcome.CUT
        self.identical.record_end(
            grant.fingerprint, grant.upstream, was_cut=cut
        )
        self._admission.ended(grant.organisation, ran=outcome not in NEVER_RAN)
        return grant

    def close_all(self, numbers: Iterable[int]) -> None:
        """Strike out reservations that turned out to be gone."""
        for number in numbers:
            self.close(number, Outcome.UNREACHABLE)

    def barred_to_suspects(self) -> frozenset[str]:
        """Return the upstreams that may take no suspect request now.

        One runs there, or the upstream may have crashed a moment ago, so
        that a second suspect would meet the end of the first.
        """
        return self.identical.cut_upstreams().union(self._suspects.values())
