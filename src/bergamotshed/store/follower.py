"""
bergamotshed.store.follower
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Keeps a consumer up to date with one topic for as long as the process runs.
"""

__all__ = ('FollowerOptions', 'TopicFollower', 'wait_until_listed')

import asyncio
import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

from eliot import log_message

from ..backoff import Backoff
from ..clock import Clock
from .health import StoreHealth
from .types import (
    Changes,
    KeyedStore,
    Position,
    StoreError,
    StoreHistoryGone,
    Topic,
    TopicConsumer,
)

#: First and longest pause after a failed call. Refused calls are charged
#: too; the longest pause bounds how late the store's return is noticed.
FIRST_RETRY_PAUSE = timedelta(milliseconds=100)
MAX_RETRY_PAUSE = timedelta(seconds=1)
#: After a failed confirmation, further ones fail at once for this long.
CONFIRM_RETRY_PAUSE = timedelta(milliseconds=300)
NO_WAIT = timedelta(0)


@dataclass(frozen=True, slots=True)
class FollowerOptions:
    """How a topic is read.

    :ivar wait: how long the store may hold back an answer without changes
    :ivar settle: pause after an answer with changes, so that one read gathers
        those that follow shortly; the first of a series isn't delayed
    """

    wait: timedelta
    settle: timedelta = timedelta(0)


def _no_delay() -> timedelta:
    return NO_WAIT


class TopicFollower:
    """Lists a topic once, then reads its changes.

    :param relist_delay: draws the pause before the topic is listed again, so
        that not all routers do so at the same moment
    :ivar listed: set once the topic has been listed
    """

    def __init__(
        self,
        store: KeyedStore,
        topic: Topic,
        consumer: TopicConsumer,
        options: FollowerOptions,
        health: StoreHealth,
        clock: Clock,
        relist_delay: Callable[[], timedelta] = _no_delay,
    ) -> None:
        self._store = store
        self._topic = topic
        self._consumer = consumer
        self._options = options
        self._health = health
        self._clock = clock
        self.listed = asyncio.Event()
        self._next: Position | None = None
        self._last_known: Position | None = None
        self._known_as_of = -math.inf
        self._is_behind = False
        self._relist_delay = relist_delay
        self._has_read_since_listing = True
        self._is_reachable = True
        self._confirm_retry_at = -math.inf
        self._backoff = Backoff(
            FIRST_RETRY_PAUSE, MAX_RETRY_PAUSE, random.Random()
        )

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            await self._clock.sleep(await self._step())

    async def confirm(self) -> bool:
        """Read changes without waiting; return whether they are all known.

        The read of :meth:`run` that the store holds back returns the same
        changes again.
        """
        sent_at = self._clock.boottime()
        if self._next is None or sent_at < self._confirm_retry_at:
            return False
        try:
            changes = await self._store.read(self._topic, self._next, NO_WAIT)
        except StoreError as error:
            self._health.record_failure()
            pause = CONFIRM_RETRY_PAUSE.total_seconds()
            self._confirm_retry_at = self._clock.boottime() + pause
            log_message(
                'store.not_confirmed',
                topic=self._topic.value,
                detail=str(error),
            )
            return False
        self._health.record_success()
        self._apply(changes, sent_at)
        return changes.is_complete

    async def _step(self) -> timedelta:
        """Make one call and return the pause that follows it."""
        sent_at = self._clock.boottime()
        try:
            must_settle = await self._advance(sent_at)
        except StoreHistoryGone as error:
            log_message(
                'store.history_gone',
                topic=self._topic.value,
                offset=None if self._next is None else self._next.offset,
                detail=str(error),
            )
            self._next = None
            return self._pause_before_listing()
        except StoreError as error:
            self._health.record_failure()
            self._record_reachable(is_reachable=False, detail=str(error))
            return self._backoff.next_pause()
        if self._has_read_since_listing:
            self._backoff.reset()
        self._record_reachable(is_reachable=True)
        return self._options.settle if must_settle else NO_WAIT

    def _pause_before_listing(self) -> timedelta:
        """Return the pause; it grows while no read succeeds between listings.

        A store whose answers are each of another era would otherwise be listed
        without end.
        """
        pause = self._relist_delay()
        if not self._has_read_since_listing:
            pause += self._backoff.next_pause()
        return pause

    async def _list(self, sent_at: float) -> None:
        listing = await self._store.newest(self._topic)
        self._health.record_success()
        self._health.record_era(listing.end.era)
        before = self._last_known
        if before is not None and before.era != listing.end.era:
            log_message(
                'store.returned',
                topic=self._topic.value,
                era=listing.end.era,
                offset=listing.end.offset,
                entries=len(listing.entries),
                era_before=before.era,
                offset_before=before.offset,
            )
        self._consumer.replace_entries(listing.entries, sent_at)
        self._known_as_of = sent_at
        self._move_to(listing.end)
        self._has_read_since_listing = False
        self.listed.set()

    async def _advance(self, sent_at: float) -> bool:
        """Make the call; return whether to pause before the next one."""
        if self._next is None:
            await self._list(sent_at)
            return False
        # The first read after a failure doesn't wait for changes, so that the
        # return of the store is noticed at once.
        is_waiting = self._is_reachable and not self._is_behind
        wait = self._options.wait if is_waiting else NO_WAIT
        changes = await self._read_unless_era_changes(self._next, wait)
        self._health.record_success()
        self._apply(changes, sent_at)
        self._move_to(changes.end)
        self._has_read_since_listing = True
        self._is_behind = not changes.is_complete
        # A peer that reads for this router gathers changes itself.
        is_gathered = changes.is_relayed or self._is_behind
        return bool(changes.entries) and not is_gathered

    def _apply(self, changes: Changes, sent_at: float) -> None:
        """Hand on changes; those of an incomplete read confirm nothing new."""
        as_of = self._known_as_of
        if changes.is_complete:
            as_of = sent_at - changes.age.total_seconds()
            self._known_as_of = max(self._known_as_of, as_of)
        self._consumer.apply_changes(changes.entries, as_of)

    async def _read_unless_era_changes(
        self, start: Position, wait: timedelta
    ) -> Changes:
        """Read, but end a held-back read when another topic shows a new era.

        :raises StoreHistoryGone: the era changed
        """
        reading = asyncio.ensure_future(
            self._store.read(self._topic, start, wait)
        )
        watching = asyncio.ensure_future(
            self._health.wait_for_other_era(start.era)
        )
        try:
            await asyncio.wait(
                (reading, watching), return_when=asyncio.FIRST_COMPLETED
            )
            if reading.done():
                return reading.result()
        finally:
            reading.cancel()
            watching.cancel()
        raise StoreHistoryGone('another topic is of another era')

    def _move_to(self, position: Position) -> None:
        self._next = position
        self._last_known = position

    def _record_reachable(
        self, *, is_reachable: bool, detail: str = ''
    ) -> None:
        if is_reachable != self._is_reachable:
            log_message(
                'store.regained' if is_reachable else 'store.lost',
                topic=self._topic.value,
                detail=detail,
            )
        self._is_reachable = is_reachable


async def wait_until_listed(
    followers: Iterable[TopicFollower], timeout: timedelta
) -> None:
    """Wait until every topic is listed, at most until the timeout."""
    waits = [
        asyncio.ensure_future(follower.listed.wait()) for follower in followers
    ]
    _, unfinished = await asyncio.wait(waits, timeout=timeout.total_seconds())
    for wait in unfinished:
        wait.cancel()
