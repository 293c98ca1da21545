"""
bergamotshed.routing.policies
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Placement policies, which choose among the upstreams under the load bound. A
service names its policy in the configuration.
"""

__all__ = (
    'BoundedPolicy',
    'LeastLoadedPolicy',
    'PlacementPolicy',
    'PlacementReason',
    'PolicyQuery',
    'Pool',
    'RememberedPolicy',
    'RendezvousPolicy',
    'UpstreamChoice',
    'find_policy',
    'policy_names',
)

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import ClassVar

from .hashing import rank
from .memory import ChatMemory


class PlacementReason(Enum):
    """Why an upstream was chosen.

    :cvar REMEMBERED: it ran the chat last
    :cvar FORMER: it ran the chat before the last one
    :cvar TOKEN: a placement token names it
    :cvar RENDEZVOUS: it is among the first of the chat's rendezvous order
    :cvar LEAST_LOADED: it has the fewest requests in flight
    :cvar DISPLACED: the preferred upstreams are at the bound
    """

    REMEMBERED = 'remembered'
    FORMER = 'former'
    TOKEN = 'token'
    RENDEZVOUS = 'rendezvous'
    LEAST_LOADED = 'least_loaded'
    DISPLACED = 'displaced'


@dataclass(frozen=True, slots=True)
class Pool:
    """The upstreams that may take a request, and their load.

    :ivar names: candidates, sorted
    :ivar counts: requests in flight on each candidate
    :ivar bound: maximum number of requests in flight on one upstream
    :ivar spread: number of upstreams at the head of a chat's order that are
        equally good
    """

    names: tuple[str, ...]
    counts: Mapping[str, int]
    bound: int
    spread: int = 1

    def is_open(self, name: str) -> bool:
        """Return whether a candidate is under the bound."""
        return name in self.counts and self.counts[name] < self.bound

    def least_loaded(self, names: Sequence[str]) -> str | None:
        """Return the open name with the least load, the first on a tie."""
        open_names = [name for name in names if self.is_open(name)]
        return min(open_names, key=self.counts.__getitem__, default=None)

    def first_open(self, names: Sequence[str]) -> str | None:
        """Return the first open name."""
        return next((name for name in names if self.is_open(name)), None)


@dataclass(frozen=True, slots=True)
class PolicyQuery:
    """The properties of a request that a policy uses.

    :ivar chat: 64-bit hash of the chat
    :ivar preferred: upstream that a placement token names, or empty
    :ivar can_wait: the request may wait instead of being displaced
    """

    chat: int
    preferred: str = ''
    can_wait: bool = False


@dataclass(frozen=True, slots=True)
class UpstreamChoice:
    """A chosen upstream.

    :ivar first_choice: the chat was not displaced by load
    """

    upstream: str
    reason: PlacementReason
    first_choice: bool = True


class PlacementPolicy(ABC):
    """Chooses an upstream; subclasses override :meth:`choose` alone.

    :cvar name: the name in the configuration
    :cvar aliases: other names for it
    :cvar priority: decides between policies with a name in common
    """

    name: ClassVar[str] = ''
    aliases: ClassVar[tuple[str, ...]] = ()
    priority: ClassVar[int] = 0

    @abstractmethod
    def choose(
        self, query: PolicyQuery, pool: Pool, memory: ChatMemory
    ) -> UpstreamChoice | None:
        """Return the upstream to use; ``None`` if there is none yet."""


class RendezvousPolicy(PlacementPolicy):
    """Plain rendezvous hashing without a load bound, as a baseline."""

    name = 'rendezvous'
    aliases = ('hash',)

    def choose(
        self, query: PolicyQuery, pool: Pool, memory: ChatMemory
    ) -> UpstreamChoice | None:
        """Return the winner of rendezvous hashing."""
        order = rank(query.chat, pool.names)
        return (
            UpstreamChoice(order[0], PlacementReason.RENDEZVOUS)
            if order
            else None
        )


class LeastLoadedPolicy(PlacementPolicy):
    """Least load regardless of the chat, as a baseline."""

    name = 'least-loaded'
    aliases = ('least',)

    def choose(
        self, query: PolicyQuery, pool: Pool, memory: ChatMemory
    ) -> UpstreamChoice | None:
        """Return the least loaded upstream; the chat's order breaks ties."""
        chosen = pool.least_loaded(rank(query.chat, pool.names))
        return (
            UpstreamChoice(chosen, PlacementReason.LEAST_LOADED)
            if chosen
            else None
        )


class BoundedPolicy(PlacementPolicy):
    """Rendezvous hashing that skips upstreams at the bound."""

    name = 'bounded'
    aliases = ('bounded-rendezvous',)
    priority = 5

    def choose(
        self, query: PolicyQuery, pool: Pool, memory: ChatMemory
    ) -> UpstreamChoice | None:
        """Return the first of the chat's order that is under the bound."""
        order = rank(query.chat, pool.names)
        chosen = pool.first_open(order)
        if chosen is None:
            return None
        if chosen == order[0]:
            return UpstreamChoice(chosen, PlacementReason.RENDEZVOUS)
        return UpstreamChoice(
            chosen, PlacementReason.DISPLACED, first_choice=False
        )


class RememberedPolicy(PlacementPolicy):
    """Follows a chat's cached history as long as the bound allows.

    The upstream that ran the chat last caches the longest history, so a
    displaced chat returns to its former upstream only when the newer one is
    at the bound.
    """

    name = 'remembered'
    aliases = ('default',)
    priority = 10

    def choose(
        self, query: PolicyQuery, pool: Pool, memory: ChatMemory
    ) -> UpstreamChoice | None:
        """Return the upstream with the history, or the best one without."""
        history = memory.recall(query.chat)
        if history is None:
            if pool.is_open(query.preferred):
                return UpstreamChoice(query.preferred, PlacementReason.TOKEN)
            return self._choose_new(query, pool, is_displaced=False)
        if pool.is_open(history.upstream):
            return UpstreamChoice(history.upstream, PlacementReason.REMEMBERED)
        is_listed = history.upstream in pool.names
        if is_listed and query.can_wait:
            return None
        if history.former_tokens and pool.is_open(history.former):
            return UpstreamChoice(
                history.former, PlacementReason.FORMER, first_choice=False
            )
        return self._choose_new(query, pool, is_displaced=is_listed)

    def _choose_new(
        self, query: PolicyQuery, pool: Pool, *, is_displaced: bool
    ) -> UpstreamChoice | None:
        order = rank(query.chat, pool.names)
        chosen = pool.least_loaded(order[: pool.spread])
        if chosen is not None and not is_displaced:
            return UpstreamChoice(chosen, PlacementReason.RENDEZVOUS)
        chosen = chosen or pool.first_open(order)
        if chosen is None:
            return None
        return UpstreamChoice(
            chosen, PlacementReason.DISPLACED, first_choice=False
        )


def find_policy(name: str) -> PlacementPolicy | None:
    """Return the policy of that name or alias; ``None`` if unknown."""
    matching = [
        policy
        for policy in _policies()
        if name == policy.name or name in policy.aliases
    ]
    if not matching:
        return None
    return max(matching, key=lambda policy: policy.priority)()


def policy_names() -> tuple[str, ...]:
    """Return the names that :func:`find_policy` knows, without aliases."""
    return tuple(sorted(policy.name for policy in _policies()))


def _policies() -> list[type[PlacementPolicy]]:
    return PlacementPolicy.__subclasses__()
