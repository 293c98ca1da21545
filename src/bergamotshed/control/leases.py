"""
bergamotshed.control.leases
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Holds a lease kept in the log, or waits to take it over.

The holder counts its lease from before the append of its last accepted
record; a contender claims only after it has not seen a newer record for the
lease and a margin, counted from when it read the last one. The contender's
count thus begins and ends later than the holder's, whatever their clocks
say; only their rates must agree to within the margin.
"""

__all__ = ('Lease', 'LeaseKeeper', 'LeaseState')

import random
from abc import ABC, abstractmethod
from contextlib import suppress
from dataclasses import dataclass
from datetime import timedelta

from eliot import log_message

from ..clock import Clock
from ..log.types import Log, LogUnavailable
from .lease_fold import (
    LEASES_STREAM,
    NO_RECORD,
    LeaseAction,
    LeaseFold,
    LeaseRecord,
)
from .lease_writer import LeaseOptions, LeaseWriter

RENEWALS_PER_TTL = 3
LONGEST_WAIT = timedelta(seconds=10)
STEP_PAUSE = timedelta(milliseconds=50)
OUTAGE_PAUSE = timedelta(milliseconds=500)
HOLDER_SUFFIX_BITS = 32
ZERO = timedelta(0)


class Lease(ABC):
    """A lease as its duties see it; override every member."""

    @property
    @abstractmethod
    def fence(self) -> int:
        """Return the fencing number: the winning claim's offset."""

    @abstractmethod
    def remaining(self) -> timedelta:
        """Return for how long the lease is surely held; 0 when it is not."""

    @abstractmethod
    def held_for(self) -> timedelta:
        """Return for how long it has been held; 0 when it is not."""


@dataclass(frozen=True, slots=True)
class LeaseState:
    """What a keeper knows, for the state dump.

    :ivar holder: who won the lease last; empty for nobody
    :ivar remaining: seconds that this keeper surely holds it
    """

    name: str
    holder: str
    fence: int
    remaining: float
    position: int


class _Term:
    """The time for which this process holds the lease."""

    def __init__(self, clock: Clock, ttl: timedelta) -> None:
        self._clock = clock
        self._ttl = ttl
        self._until = clock.monotonic()
        self._won_at = self._until
        self._closed = False
        self.fence = NO_RECORD

    @property
    def closed(self) -> bool:
        """Return whether the lease is not wanted any more."""
        return self._closed

    def remaining(self) -> timedelta:
        """Return what is left of it."""
        left = self._until - self._clock.monotonic()
        return max(ZERO, timedelta(seconds=left))

    def held_for(self) -> timedelta:
        """Return how long it has lasted."""
        if self.remaining() == ZERO:
            return ZERO
        return timedelta(seconds=self._clock.monotonic() - self._won_at)

    def extend(self, started: float, fence: int) -> bool:
        """Count the lease from there; return whether it is newly won."""
        if self._closed:
            return False
        won = fence != self.fence
        if won:
            self._won_at = self._clock.monotonic()
        self.fence = fence
        self._until = started + self._ttl.total_seconds()
        return won

    def end(self) -> None:
        """Hold the lease no longer."""
        self._until = min(self._until, self._clock.monotonic())

    def close(self) -> None:
        """Hold the lease never again."""
        self.end()
        self._closed = True


class LeaseKeeper(Lease):
    """Contends for a lease and keeps it, as one task.

    :param holder: this process's name; a suffix tells its starts apart
    :param chance: spreads the claims of several contenders
    """

    def __init__(
        self,
        log: Log,
        terms: LeaseOptions,
        holder: str,
        clock: Clock,
        chance: random.Random | None = None,
    ) -> None:
        self._log = log
        self._terms = terms
        self._clock = clock
        self._chance = chance or random.Random()
        suffix = self._chance.getrandbits(HOLDER_SUFFIX_BITS)
        self._writer = LeaseWriter(log, terms, f'{holder}#{suffix:x}', clock)
        self._fold = LeaseFold(terms.name)
        self._term = _Term(clock, terms.ttl)
        self._claim_at = self._patient_until()
        self._caught_up = False

    @property
    def fence(self) -> int:
        """Return the fencing number of the last claim that was won."""
        return self._term.fence

    @property
    def state(self) -> LeaseState:
        """Return what is known now."""
        record = self._fold.record
        return LeaseState(
            name=self._terms.name,
            holder=record.holder if record else '',
            fence=self._fold.fence,
            remaining=self.remaining().total_seconds(),
            position=self._fold.position,
        )

    def remaining(self) -> timedelta:
        """Return for how long the lease is surely held; 0 when it is not."""
        return self._term.remaining()

    def held_for(self) -> timedelta:
        """Return for how long it has been held; 0 when it is not."""
        return self._term.held_for()

    async def run(self) -> None:
        """Contend and renew without end."""
        while True:
            try:
                await self.step()
            except LogUnavailable:
                await self._clock.sleep(OUTAGE_PAUSE)
            # A log that answers early must not be asked without end.
            await self._clock.sleep(STEP_PAUSE)

    async def step(self) -> None:
        """Read what is new, then claim or renew if that is due.

        :raises LogUnavailable: the log can't be reached now
        """
        await self._read(self._wait())
        if not self._caught_up or self._term.closed:
            return
        if self.remaining() > ZERO:
            if _renewal_in(self._terms.ttl, self.remaining()) <= ZERO:
                await self._append(LeaseAction.RENEW)
        elif self._claim_due():
            await self._append(LeaseAction.CLAIM)

    async def release(self) -> None:
        """Give the lease back, so that another may claim it at once.

        No order may be given after this was called. If the log can't be
        reached, the lease runs out by itself.
        """
        held = self.remaining() > ZERO
        self._term.close()
        if held:
            with suppress(LogUnavailable):
                await self._writer.append(LeaseAction.RELEASE, self._fold)

    async def _append(self, action: LeaseAction) -> None:
        self._claim_at = self._patient_until()
        offset = await self._writer.append(action, self._fold)
        while offset is not None and self._fold.position <= offset:
            await self._read(ZERO)

    async def _read(self, wait: timedelta) -> None:
        before = self._fold.head
        page = await self._log.read(
            LEASES_STREAM, self._fold.position, wait=wait
        )
        self._fold.apply_page(page)
        self._caught_up = self._fold.position >= page.next
        if self._fold.head != before:
            self._claim_at = self._patient_until()
            self._note_head()

    def _note_head(self) -> None:
        record = self._fold.record
        if record is None or record.holder != self._writer.holder:
            if self.remaining() > ZERO:
                log_message('lease.lost', lease=self._terms.name)
            self._term.end()
            return
        started = self._writer.first_append_time(record)
        if started is None:
            return
        fence = self._fold.fence
        if self._term.extend(started, fence):
            log_message('lease.won', lease=self._terms.name, fence=fence)

    def _claim_due(self) -> bool:
        if not self._fold.can_claim:
            return False
        never_held = self._fold.exact and self._fold.head == NO_RECORD
        return never_held or _until(self._clock, self._claim_at) <= ZERO

    def _patient_until(self) -> float:
        pause = _patience(self._terms, self._fold.record, self._chance)
        return self._clock.monotonic() + pause

    def _wait(self) -> timedelta:
        if not self._caught_up:
            return ZERO
        due = _renewal_in(self._terms.ttl, self.remaining())
        if self.remaining() == ZERO:
            due = _until(self._clock, self._claim_at)
        return min(max(ZERO, due), LONGEST_WAIT)


def _patience(
    terms: LeaseOptions, record: LeaseRecord | None, chance: random.Random
) -> float:
    margin = terms.margin.total_seconds()
    jitter = chance.uniform(0, margin)
    if record is None:
        return terms.ttl.total_seconds() + margin + jitter
    if record.action is LeaseAction.RELEASE:
        return jitter
    return max(terms.ttl.total_seconds(), record.ttl) + margin + jitter


def _renewal_in(ttl: timedelta, remaining: timedelta) -> timedelta:
    return remaining - (ttl - ttl / RENEWALS_PER_TTL)


def _until(clock: Clock, moment: float) -> timedelta:
    return timedelta(seconds=moment - clock.monotonic())
