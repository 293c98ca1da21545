"""
bergamotshed.control.leases
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Holds a lease that is recorded in the log, or waits to take it over.

The holder measures its lease from before the append of its last accepted
record. A contender claims only if no newer record appeared for the duration
of the lease plus a margin, measured from when it read the last record. The
contender's period thus starts and ends later than the holder's, whatever
their clocks show; only their clock rates must agree to within the margin.
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
MAX_WAIT = timedelta(seconds=10)
STEP_INTERVAL = timedelta(milliseconds=50)
OUTAGE_RETRY_INTERVAL = timedelta(milliseconds=500)
HOLDER_SUFFIX_BITS = 32
ZERO = timedelta(0)


class Lease(ABC):
    """A lease as seen by the tasks of its holder; override every member."""

    @property
    @abstractmethod
    def fence(self) -> int:
        """Return the fencing token: the offset of the winning claim."""

    @abstractmethod
    def remaining(self) -> timedelta:
        """Return for how long the lease is certainly held; 0 when it is not."""

    @abstractmethod
    def held_for(self) -> timedelta:
        """Return for how long it has been held; 0 when it is not."""


@dataclass(frozen=True, slots=True)
class LeaseState:
    """State of a lease keeper, for the state dump.

    :ivar name: name of the lease
    :ivar holder: last known holder; empty for none
    :ivar fence: fencing token of that holder; -1 for none
    :ivar remaining: seconds for which this process certainly holds the lease
    :ivar position: offset of the record to be read next
    """

    name: str
    holder: str
    fence: int
    remaining: float
    position: int


class _HoldPeriod:
    """The period for which this process holds the lease."""

    def __init__(self, clock: Clock, ttl: timedelta) -> None:
        self._clock = clock
        self._ttl = ttl
        self._expires_at = clock.monotonic()
        self._won_at = self._expires_at
        self._is_closed = False
        self.fence = NO_RECORD

    @property
    def is_closed(self) -> bool:
        """Return whether this process has given the lease up for good."""
        return self._is_closed

    def remaining(self) -> timedelta:
        """Return the time until the end of the period."""
        remaining_s = self._expires_at - self._clock.monotonic()
        return max(ZERO, timedelta(seconds=remaining_s))

    def held_for(self) -> timedelta:
        """Return how long the lease has been held; 0 when it is not."""
        if self.remaining() == ZERO:
            return ZERO
        return timedelta(seconds=self._clock.monotonic() - self._won_at)

    def extend(self, append_started: float, fence: int) -> bool:
        """Extend the period, and return whether the lease was newly won.

        :param append_started: monotonic time in seconds from which the
            duration of the lease is measured
        """
        if self._is_closed:
            return False
        is_new = fence != self.fence
        if is_new:
            self._won_at = self._clock.monotonic()
        self.fence = fence
        self._expires_at = append_started + self._ttl.total_seconds()
        return is_new

    def expire(self) -> None:
        """End the period now."""
        self._expires_at = min(self._expires_at, self._clock.monotonic())

    def close(self) -> None:
        """End the period now and refuse any later extension."""
        self.expire()
        self._is_closed = True


class LeaseKeeper(Lease):
    """Contends for a lease and renews it, in one task.

    :param holder: name of this process; a random suffix is added to
        distinguish its starts
    :param rng: adds jitter to the claims of several contenders
    """

    def __init__(
        self,
        log: Log,
        options: LeaseOptions,
        holder: str,
        clock: Clock,
        rng: random.Random | None = None,
    ) -> None:
        self._log = log
        self._options = options
        self._clock = clock
        self._rng = rng or random.Random()
        suffix = self._rng.getrandbits(HOLDER_SUFFIX_BITS)
        self._writer = LeaseWriter(log, options, f'{holder}#{suffix:x}', clock)
        self._fold = LeaseFold(options.name)
        self._hold_period = _HoldPeriod(clock, options.ttl)
        self._next_claim_at = self._compute_next_claim()
        self._caught_up = False

    @property
    def fence(self) -> int:
        """Return the fencing token of the last claim that was won."""
        return self._hold_period.fence

    @property
    def state(self) -> LeaseState:
        """Return the current state."""
        record = self._fold.record
        return LeaseState(
            name=self._options.name,
            holder=record.holder if record else '',
            fence=self._fold.fence,
            remaining=self.remaining().total_seconds(),
            position=self._fold.position,
        )

    def remaining(self) -> timedelta:
        """Return for how long the lease is certainly held; 0 when it is not."""
        return self._hold_period.remaining()

    def held_for(self) -> timedelta:
        """Return for how long it has been held; 0 when it is not."""
        return self._hold_period.held_for()

    async def run(self) -> None:
        """Contend for the lease and renew it until cancelled."""
        while True:
            try:
                await self.step()
            except LogUnavailable:
                await self._clock.sleep(OUTAGE_RETRY_INTERVAL)
            # Avoids a busy loop if the log answers long polls early.
            await self._clock.sleep(STEP_INTERVAL)

    async def step(self) -> None:
        """Read new records, then claim or renew if that is due.

        :raises LogUnavailable: the log can't be reached now
        """
        await self._read(self._read_wait())
        if not self._caught_up or self._hold_period.is_closed:
            return
        if self.remaining() > ZERO:
            if _time_until_renewal(self._options.ttl, self.remaining()) <= ZERO:
                await self._append(LeaseAction.RENEW)
        elif self._is_claim_due():
            await self._append(LeaseAction.CLAIM)

    async def release(self) -> None:
        """Release the lease, so that another process may claim it at once.

        The holder must not give orders after this call. If the log can't be
        reached, the lease expires by itself.
        """
        is_held = self.remaining() > ZERO
        self._hold_period.close()
        if is_held:
            with suppress(LogUnavailable):
                await self._writer.append(LeaseAction.RELEASE, self._fold)

    async def _append(self, action: LeaseAction) -> None:
        self._next_claim_at = self._compute_next_claim()
        offset = await self._writer.append(action, self._fold)
        while offset is not None and self._fold.position <= offset:
            await self._read(ZERO)

    async def _read(self, wait: timedelta) -> None:
        previous_head = self._fold.head
        page = await self._log.read(
            LEASES_STREAM, self._fold.position, wait=wait
        )
        self._fold.apply_page(page)
        self._caught_up = self._fold.position >= page.next
        if self._fold.head != previous_head:
            self._next_claim_at = self._compute_next_claim()
            self._update_hold_period()

    def _update_hold_period(self) -> None:
        record = self._fold.record
        if record is None or record.holder != self._writer.holder:
            if self.remaining() > ZERO:
                log_message('lease.lost', lease=self._options.name)
            self._hold_period.expire()
            return
        append_started = self._writer.first_append_time(record)
        if append_started is None:
            return
        fence = self._fold.fence
        if self._hold_period.extend(append_started, fence):
            log_message('lease.won', lease=self._options.name, fence=fence)

    def _is_claim_due(self) -> bool:
        if not self._fold.can_claim:
            return False
        is_unclaimed = self._fold.exact and self._fold.head == NO_RECORD
        return (
            is_unclaimed
            or _time_until(self._clock, self._next_claim_at) <= ZERO
        )

    def _compute_next_claim(self) -> float:
        delay_s = _claim_delay(self._options, self._fold.record, self._rng)
        return self._clock.monotonic() + delay_s

    def _read_wait(self) -> timedelta:
        if not self._caught_up:
            return ZERO
        due = _time_until_renewal(self._options.ttl, self.remaining())
        if self.remaining() == ZERO:
            due = _time_until(self._clock, self._next_claim_at)
        return min(max(ZERO, due), MAX_WAIT)


def _claim_delay(
    options: LeaseOptions, record: LeaseRecord | None, rng: random.Random
) -> float:
    margin = options.margin.total_seconds()
    jitter = rng.uniform(0, margin)
    if record is None:
        return options.ttl.total_seconds() + margin + jitter
    if record.action is LeaseAction.RELEASE:
        return jitter
    return max(options.ttl.total_seconds(), record.ttl) + margin + jitter


def _time_until_renewal(ttl: timedelta, remaining: timedelta) -> timedelta:
    return remaining - (ttl - ttl / RENEWALS_PER_TTL)


def _time_until(clock: Clock, moment: float) -> timedelta:
    return timedelta(seconds=moment - clock.monotonic())
