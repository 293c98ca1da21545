"""
bergamotshed.routing.cache_source
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Finds an upstream from which the cache of a prompt can be copied.

Copying takes a fraction of the time of reading the prompt. It reduces the
load when upstreams join, leave or are full, and that of the first requests
with a common prefix at each upstream. A wrong guess costs one failed request
between two upstreams.
"""

__all__ = ('CacheSources', 'ListedUpstreams', 'subject_order')

from collections.abc import Collection, Iterator, Sequence
from functools import lru_cache
from typing import Protocol

from ..upstreams.types import Incarnation, Instance
from .hashing import rank, stable_hash
from .prompt_readers import PromptReaders
from .upstream_loads import UpstreamLoads

#: Cached orders take about 7 KB each with 820 upstreams. An order is cut off
#: beyond the positions to which load displaces a subject while others have
#: room.
ORDER_CACHE_SIZE = 1024
ORDER_LENGTH = 32


class ListedUpstreams(Protocol):
    """The upstreams that are listed."""

    @property
    def instances(self) -> dict[str, Instance]:
        """Return all upstreams by name, leaving ones included."""

    def members(self, service: str) -> tuple[Instance, ...]:
        """Return the upstreams of a service that take new requests."""

    def names(self, service: str) -> tuple[str, ...]:
        """Return the upstream names of a service, leaving ones included."""

    @property
    def withdrawn(self) -> Collection[Incarnation]:
        """Return the upstreams that stated themselves that they leave."""


class CacheSources:
    """Finds an upstream that has probably read a prompt."""

    def __init__(
        self,
        listed: ListedUpstreams,
        loads: UpstreamLoads,
        readers: PromptReaders,
    ) -> None:
        self._listed = listed
        self._loads = loads
        self._readers = readers

    def has_read(self, shared_parts: Sequence[str], chosen: Instance) -> bool:
        """Return whether the upstream is known to have read the subject."""
        return self._readers.has_read(shared_parts[-1], chosen.incarnation)

    def find(
        self, shared_parts: Sequence[str], chosen: Instance
    ) -> Instance | None:
        """Return another upstream that may have read parts that the chosen
        one has not; ``None`` if there is probably none.

        :param shared_parts: leading parts of the prompt that are shared with
            other requests
        """
        if not shared_parts or self.has_read(shared_parts, chosen):
            return None
        for name in self._likely_readers(shared_parts, chosen):
            source = self._listed.instances.get(name)
            if source is not None and self._is_usable(source, chosen):
                return source
        return None

    def _is_usable(self, source: Instance, chosen: Instance) -> bool:
        return (
            source.name != chosen.name
            and source.incarnation not in self._listed.withdrawn
            and not self._loads.is_ejected(source)
        )

    def _likely_readers(
        self, shared_parts: Sequence[str], chosen: Instance
    ) -> Iterator[str]:
        """Yield names, the likeliest reader first.

        Beside the known readers these are the first names of the order by
        which all routers choose; leaving upstreams are still in it.
        """
        subject = shared_parts[-1]
        order = subject_order(subject, self._listed.names(chosen.service))
        yield from self._known_readers(subject)
        if order[0] != chosen.name:
            yield order[0]
        for part in reversed(shared_parts[:-1]):
            if self._readers.has_read(part, chosen.incarnation):
                break
            yield from self._known_readers(part)
        yield from order[1:2]

    def _known_readers(self, part: str) -> Iterator[str]:
        instances = self._listed.instances
        for reader in self._readers.readers(part):
            name, _ = reader
            if name in instances and instances[name].incarnation == reader:
                yield name


@lru_cache(maxsize=ORDER_CACHE_SIZE)
def subject_order(subject: str, names: tuple[str, ...]) -> tuple[str, ...]:
    """Return the first names in the subject's rendezvous order."""
    return tuple(rank(stable_hash('subject', subject), names)[:ORDER_LENGTH])
