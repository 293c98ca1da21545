"""
bergamotshed.routing.health
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which upstreams are suspect, by the outcomes of this router's requests and
by the word of its peers.
"""

__all__ = ('UpstreamHealth', 'UpstreamSuspicion')

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from .gossip import Gossip, GossipItem
from .types import Outcome, Upstream, UpstreamState

#: How long this router asserts that a former suspect answers.
CLEARED_LIFETIME = timedelta(seconds=4)

#: More suspects than this share of a service put one's own sight in doubt.
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
        """Return a number that grows with each change of a suspicion."""
        return self._changes

    @property
    def suspicions(self) -> dict[str, UpstreamSuspicion]:
        """Return every suspicion by upstream name; not to be changed."""
        return self._suspicions

    def record_outcome(self, upstream: str, outcome: Outcome) -> None:
        """Take the outcome of an attempt or probe as evidence."""
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
        """Take what a peer tells of its own and others' evidence."""
        self.suspects.merge(suspects)
        self.cleared.merge(cleared)
        self._update()

    def track(self, names: Iterable[str]) -> None:
        """Judge these upstreams and drop all others."""
        self._names = frozenset(names)
        for gone in self._failed_at.keys() - self._names:
            del self._failed_at[gone]
        self._update()

    def expire(self) -> None:
        """Drop what nobody asserts any more."""
        horizon = self._clock.monotonic() - CLEARED_LIFETIME.total_seconds()
        for name, at in tuple(self._cleared_at.items()):
            if at < horizon:
                del self._cleared_at[name]
        self.suspects.expire()
        self.cleared.expire()
        self._update()

    def states(self, upstreams: Sequence[Upstream]) -> list[UpstreamState]:
        """Return the state of each upstream of one service.

        Where most are suspect, those that no peer suspects too count as
        live: it may be this router that is cut off.
        """
        suspicions = [
            self._suspicions.get(upstream.name) for upstream in upstreams
        ]
        suspect = len(suspicions) - suspicions.count(None)
        doubt = suspect > DOUBT_SHARE * len(upstreams)
        return [
            _state(upstream, suspicion, doubt=doubt)
            for upstream, suspicion in zip(upstreams, suspicions, strict=True)
        ]

    def _update(self) -> None:
        """Judge all upstreams anew."""
        self._clear_failures()
        self.suspects.assert_own(self._failed_at)
        self.cleared.assert_own(self._cleared_at)
        judged = {
            name: UpstreamSuspicion(
                name in self._failed_at, self._believed(name)
            )
            for name in self.suspects.names & self._names
        }
        suspicions = {
            suspect: suspicion
            for suspect, suspicion in judged.items()
            if suspicion.own or suspicion.told
        }
        if suspicions != self._suspicions:
            self._suspicions = suspicions
            self._changes += 1

    def _clear_failures(self) -> None:
        """Drop own evidence that is older than a peer's success."""
        for name, failed_at in tuple(self._failed_at.items()):
            cleared_at = self.cleared.last_asserted(name)
            if cleared_at is not None and cleared_at > failed_at:
                del self._failed_at[name]

    def _believed(self, name: str) -> frozenset[str]:
        """Return who suspects an upstream that nobody has reached since."""
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
    upstream: Upstream, suspicion: UpstreamSuspicion | None, *, doubt: bool
) -> UpstreamState:
    if upstream.state is UpstreamState.LEAVING:
        return UpstreamState.LEAVING
    if suspicion is None or (doubt and not suspicion.told):
        return UpstreamState.LIVE
    return UpstreamState.SUSPECT
