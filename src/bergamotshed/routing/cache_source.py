"""
bergamotshed.routing.cache_source
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Where an upstream can copy the cache of a prompt from.

Copying takes a fraction of the time of reading. Answers the load of
upstreams that join, leave or are full, and that of the first requests with a
common beginning at each upstream. A wrong guess costs one fruitless question
between two upstreams.
"""

__all__ = ('CacheSources', 'Listed', 'subject_order')

from collections.abc import Iterator, Sequence
from functools import lru_cache
from typing import Protocol

from ..upstreams.types import Instance
from .hashing import rank, stable_hash
from .prompt_readers import PromptReaders
from .upstream_loads import UpstreamLoads

#: Orders that are kept, about 7 KB each with 820 upstreams, and how far each
#: goes: load never displaces a subject that far while others have room.
ORDERS_KEPT = 1024
ORDER_LENGTH = 32


class Listed(Protocol):
    """Gives the upstreams that are listed."""

    @property
    def instances(self) -> dict[str, Instance]:
        """Return all by name, those that leave included."""

    def members(self, service: str) -> tuple[Instance, ...]:
        """Return those of a service that take new requests."""

    def names(self, service: str) -> tuple[str, ...]:
        """Return the names of a service, those that leave included."""


class CacheSources:
    """Finds a likely reader of a prompt."""

    def __init__(
        self, listed: Listed, loads: UpstreamLoads, memory: PromptReaders
    ) -> None:
        self._listed = listed
        self._loads = loads
        self._memory = memory

    def has_read(self, shared: Sequence[str], chosen: Instance) -> bool:
        """Tell whether the chosen upstream is known to keep the subject."""
        return self._memory.has_read(shared[-1], chosen.incarnation)

    def find(self, shared: Sequence[str], chosen: Instance) -> Instance | None:
        """Return another upstream that may have read what the chosen one
        has not; ``None`` if that is likely nothing.

        :param shared: the parts of the prompt that others begin with too
        """
        if not shared or self.has_read(shared, chosen):
            return None
        for name in self._likely_readers(shared, chosen):
            source = self._listed.instances.get(name)
            if source is None or name == chosen.name:
                continue
            if not self._loads.is_ejected(source):
                return source
        return None

    def _likely_readers(
        self, shared: Sequence[str], chosen: Instance
    ) -> Iterator[str]:
        """Give names, the likeliest first.

        Beside the known readers there is the order by which all routers
        choose; the upstreams that leave are still in it.
        """
        subject = shared[-1]
        order = subject_order(subject, self._listed.names(chosen.service))
        yield from self._known_readers(subject)
        if order[0] != chosen.name:
            yield order[0]
        for part in reversed(shared[:-1]):
            if self._memory.has_read(part, chosen.incarnation):
                break
            yield from self._known_readers(part)
        yield from order[1:2]

    def _known_readers(self, part: str) -> Iterator[str]:
        known = self._listed.instances
        for reader in self._memory.readers(part):
            name, _ = reader
            if name in known and known[name].incarnation == reader:
                yield name


@lru_cache(maxsize=ORDERS_KEPT)
def subject_order(subject: str, names: tuple[str, ...]) -> tuple[str, ...]:
    """Return the first names in the order that all routers prefer."""
    return tuple(rank(stable_hash('subject', subject), names)[:ORDER_LENGTH])
