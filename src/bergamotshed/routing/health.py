"""
bergamotshed.routing.health
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which upstreams are suspect, by the outcomes of this router's requests and
the reports of its peers.
"""

__all__ = ('UpstreamHealth', 'UpstreamSuspicion')

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from .gossip import Gossip, GossipItem
from .types import Outcome, Upstream, UpstreamState

#: How long this router reports to its peers that a former suspect answers.
CLEARED_LIFETIME = timedelta(seconds=4)

#: With a larger share of a service suspect, this router's own evidence is in
#: doubt: it may be cut off itself.
DOUBT_SHARE = 0.5

_FAILURES = frozenset((Outcome.UNREACHABLE, Outcome.CUT))
_SUCCESSES = frozenset((Outcome.DONE, Outcome.REFUSED))


@dataclass(frozen=True, slots=True)
class UpstreamSuspicion:
    """Why one upstream is suspect.

    :ivar own: this router has evidence of its own
    :ivar told: peers that suspect it
    """

    own: bool
    told: frozenset[str]


class UpstreamHealth:
    """Suspicions of upstreams.

    :param node: this router's name
    """

    def __init__(self, node: str, clock: Clock) -> None:
        self.suspects = Gossip(node, clock)
        self.cleared = Gossip(node, clock)
        self._clock = clock
        self._failed_at: dict[str, float] = {}
        self._cleared_at: dict[str, float] = {}
        self._names: frozenset[str] = frozenset()
        self._suspicions: dict[str, UpstreamSuspicion] = {}
        self._changes = 0

    @property
    def changes(self) -> int:
        """Return a number that grows with each change of suspicions."""
        return self._changes

    @property
    def suspicions(self) -> dict[str, UpstreamSuspicion]:
        """Return the suspicions by upstream name; not to be modified."""
        return self._suspicions

    def record_outcome(self, upstream: str, outcome: Outcome) -> None:
        """Record the outcome of an attempt or probe as evidence."""
        now = self._clock.monotonic()
        if outcome in _FAILURES:
            self._cleared_at.pop(upstream, None)
            self._failed_at[upstream] = now
        elif outcome in _SUCCESSES and upstream in self._suspicions:
            self._failed_at.pop(upstream, None)
            self._cleared_at[upstream] = now
        else:
            return
        self._update()

    def merge_gossip(
        self, suspects: Iterable[GossipItem], cleared: Iterable[GossipItem]
    ) -> None:
        """Merge a peer's evidence and what it relays of others."""
        self.suspects.merge(suspects)
        self.cleared.merge(cleared)
        self._update()

    def track(self, names: Iterable[str]) -> None:
        """Follow these upstreams and no others."""
        self._names = frozenset(names)
        for removed in self._failed_at.keys() - self._names:
            del self._failed_at[removed]
        self._update()

    def expire(self) -> None:
        """Drop what no router asserts any more."""
        horizon = self._clock.monotonic() - CLEARED_LIFETIME.total_seconds()
        for name, cleared_at in tuple(self._cleared_at.items()):
            if cleared_at < horizon:
                del self._cleared_at[name]
        self.suspects.expire()
        self.cleared.expire()
        self._update()

    def states(self, upstreams: Sequence[Upstream]) -> list[UpstreamState]:
        """Return the state of each upstream of one service.

        Where most are suspect, those that no peer suspects count as live:
        it may be this router that is cut off.
        """
        suspicions = [
            self._suspicions.get(upstream.name) for upstream in upstreams
        ]
        suspect_count = len(suspicions) - suspicions.count(None)
        is_in_doubt = suspect_count > DOUBT_SHARE * len(upstreams)
        return [
            _state(upstream, suspicion, is_in_doubt=is_in_doubt)
            for upstream, suspicion in zip(upstreams, suspicions, strict=True)
        ]

    def _update(self) -> None:
        """Recompute the suspicions of all upstreams."""
        self._clear_failures()
        self.suspects.assert_own(self._failed_at)
        self.cleared.assert_own(self._cleared_at)
        candidates = {
            name: UpstreamSuspicion(
                name in self._failed_at, self._peers_suspecting(name)
            )
            for name in self.suspects.names & self._names
        }
        suspicions = {
            name: suspicion
            for name, suspicion in candidates.items()
            if suspicion.own or suspicion.told
        }
        if suspicions != self._suspicions:
            self._suspicions = suspicions
            self._changes += 1

    def _clear_failures(self) -> None:
        """Drop own failures that are older than a peer's success."""
        for name, failed_at in tuple(self._failed_at.items()):
            cleared_at = self.cleared.last_asserted(name)
            if cleared_at is not None and cleared_at > failed_at:
                del self._failed_at[name]

    def _peers_suspecting(self, name: str) -> frozenset[str]:
        """Return the peers that suspect an upstream, none if any router has
        reached it since.
        """
        if name in self._cleared_at:
            return frozenset()
        suspected_at = self.suspects.last_asserted(name)
        cleared_at = self.cleared.last_asserted(name)
        if suspected_at is None:
            return frozenset()
        if cleared_at is not None and cleared_at >= suspected_at:
            return frozenset()
        return self.suspects.origins(name)


def _state(
    upstream: Upstream,
    suspicion: UpstreamSuspicion | None,
    *,
    is_in_doubt: bool,
) -> UpstreamState:
    if upstream.state is UpstreamState.LEAVING:
        return UpstreamState.LEAVING
    if suspicion is None or (is_in_doubt and not suspicion.told):
        return UpstreamState.LIVE
    return UpstreamState.SUSPECT
