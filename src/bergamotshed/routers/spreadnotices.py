"""
bergamotshed.routers.spreadnotices
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Notices of facts that several routers find out at about the same time.
"""

__all__ = ('SpreadNotices',)

import asyncio
import random
from collections.abc import Callable, Hashable
from datetime import timedelta
from typing import Generic, TypeVar

from ..clock import Clock
from .confirmednotices import ConfirmedNotices
from .messages import Message

#: Longest wait per peer before a fact is announced. In a large fleet most
#: routers hear of it from another one meanwhile, and say nothing.
DELAY_PER_PEER = timedelta(milliseconds=2)

_K = TypeVar('_K', bound=Hashable)
_V = TypeVar('_V')


class SpreadNotices(Generic[_K, _V]):
    """Announces facts after a random delay, several in one notice.

    :param build: returns the notice of some facts
    """

    def __init__(
        self,
        notices: ConfirmedNotices,
        clock: Clock,
        build: Callable[[dict[_K, _V]], Message],
    ) -> None:
        self._notices = notices
        self._clock = clock
        self._build = build
        self._waiting: dict[_K, _V] = {}
        self._announcement: asyncio.Task[None] | None = None

    def schedule(self, key: _K, fact: _V) -> None:
        """Announce a fact soon; replaces an earlier one with the same key."""
        self._waiting[key] = fact
        if self._announcement is None:
            self._announcement = asyncio.create_task(self._announce())

    def waiting(self, key: _K) -> _V | None:
        """Return a fact that is not announced yet."""
        return self._waiting.get(key)

    def cancel(self, key: _K) -> None:
        """Don't announce a fact that a peer has announced."""
        self._waiting.pop(key, None)

    async def _announce(self) -> None:
        max_delay = DELAY_PER_PEER * len(self._notices.peers())
        await self._clock.sleep(random.random() * max_delay)
        self._announcement = None
        if self._waiting:
            facts = dict(self._waiting)
            self._waiting.clear()
            self._notices.send(self._build(facts))
