"""
bergamotshed.routing.policies
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Placement policies: which of the upstreams under the load bound takes a
request. A service names its policy in the configuration.
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
    """Why an upstream was chosen."""

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
    :ivar bound: most requests that one upstream may hold
    :ivar spread: first upstreams of a chat's order that are as good
    """

    names: tuple[str, ...]
    counts: Mapping[str, int]
    bound: int
    spread: int = 1

    def is_open(self, name: str) -> bool:
        """Tell whether a candidate is under the bound."""
        return name in self.counts and self.counts[name] < self.bound

    def least_loaded(self, names: Sequence[str]) -> str | None:
        """Return the open name with the least load, the earlier on a tie."""
        opened = [name for name in names if self.is_open(name)]
        return min(opened, key=self.counts.__getitem__, default=None)

    def first_open(self, names: Sequence[str]) -> str | None:
        """Return the first open name."""
        return next((name for name in names if self.is_open(name)), None)


@dataclass(frozen=True, slots=True)
class PolicyQuery:
    """What a policy knows of a request.

    :ivar chat: 64-bit hash of the chat
    :ivar preferred: upstream that a placement token names, or empty
    :ivar can_wait: the request may wait rather than be displaced
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
        self, wanted: PolicyQuery, pool: Pool, memory: ChatMemory
    ) -> UpstreamChoice | None:
        """Return the upstream to use; ``None`` if there is none yet."""


class RendezvousPolicy(PlacementPolicy):
    """Plain rendezvous hashing; it keeps no bound. A baseline."""

    name = 'rendezvous'
    aliases = ('hash',)

    def choose(
        self, wanted: PolicyQuery, pool: Pool, memory: ChatMemory
    ) -> UpstreamChoice | None:
        """Return the winner of rendezvous hashing."""
        order = rank(wanted.chat, pool.names)
        return (
            UpstreamChoice(order[0], PlacementReason.RENDEZVOUS)
            if order
            else None
        )


class LeastLoadedPolicy(PlacementPolicy):
    """The upstream with the least load, whatever the chat. A baseline."""

    name = 'least-loaded'
    aliases = ('least',)

    def choose(
        self, wanted: PolicyQuery, pool: Pool, memory: ChatMemory
    ) -> UpstreamChoice | None:
        """Return the least loaded; the chat's order breaks ties."""
        chosen = pool.least_loaded(rank(wanted.chat, pool.names))
        return (
            UpstreamChoice(chosen, PlacementReason.LEAST_LOADED)
            if chosen
            else None
        )


class BoundedPolicy(PlacementPolicy):
    """Rendezvous hashing that passes over upstreams at the bound."""

    name = 'bounded'
    aliases = ('bounded-rendezvous',)
    priority = 5

    def choose(
        self, wanted: PolicyQuery, pool: Pool, memory: ChatMemory
    ) -> UpstreamChoice | None:
        """Return the first of the chat's order that is under the bound."""
        order = rank(wanted.chat, pool.names)
        chosen = pool.first_open(order)
        if chosen is None:
            return None
        if chosen == order[0]:
            return UpstreamChoice(chosen, PlacementReason.RENDEZVOUS)
        return UpstreamChoice(
            chosen, PlacementReason.DISPLACED, first_choice=False
        )


class RememberedPolicy(PlacementPolicy):
    """Follows a chat's history as long as the bound lets it.

    The history that ran last is the longest, so a displaced chat goes back
    to its former upstream only when the newer one is at the bound.
    """

    name = 'remembered'
    aliases = ('default',)
    priority = 10

    def choose(
        self, wanted: PolicyQuery, pool: Pool, memory: ChatMemory
    ) -> UpstreamChoice | None:
        """Return where the history is, or the best place for a new one."""
        known = memory.recall(wanted.chat)
        if known is None:
            if pool.is_open(wanted.preferred):
                return UpstreamChoice(wanted.preferred, PlacementReason.TOKEN)
            return self._settle(wanted, pool, displaced=False)
        if pool.is_open(known.upstream):
            return UpstreamChoice(known.upstream, PlacementReason.REMEMBERED)
        present = known.upstream in pool.names
        if present and wanted.can_wait:
            return None
        if known.former_tokens and pool.is_open(known.former):
            return UpstreamChoice(
                known.former, PlacementReason.FORMER, first_choice=False
            )
        return self._settle(wanted, pool, displaced=present)

    def _settle(
        self, wanted: PolicyQuery, pool: Pool, *, displaced: bool
    ) -> UpstreamChoice | None:
        order = rank(wanted.chat, pool.names)
        chosen = pool.least_loaded(order[: pool.spread])
        if chosen is not None and not displaced:
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
        family
        for family in _families()
        if name == family.name or name in family.aliases
    ]
    if not matching:
        return None
    return max(matching, key=lambda family: family.priority)()


def policy_names() -> tuple[str, ...]:
    """Return the names that :func:`find_policy` knows, without aliases."""
    return tuple(sorted(family.name for family in _families()))


def _families() -> list[type[PlacementPolicy]]:
    return PlacementPolicy.__subclasses__()
