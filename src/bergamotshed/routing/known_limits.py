"""
bergamotshed.routing.known_limits
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The limits on requests a second that upstreams name in their answers, as this
router knows them.
"""

__all__ = ('KnownLimits', 'RateLimit')

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from ..upstreams.types import Incarnation

#: Relative change of a limit from which on the other routers are told.
NOTABLE_CHANGE = 0.25


@dataclass(frozen=True, slots=True)
class RateLimit:
    """What an upstream last said.

    :ivar rate: requests a second from all routers; ``None`` for no limit
    :ivar heard_at: in monotonic seconds
    """

    rate: float | None
    heard_at: float


class KnownLimits:
    """Limits by the upstream's incarnation."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._limits: dict[Incarnation, RateLimit] = {}
        self._blocked_until: dict[Incarnation, float] = {}
        self._paused_until: dict[Incarnation, float] = {}

    @property
    def limits(self) -> dict[Incarnation, RateLimit]:
        """Return the limits in force."""
        return {
            upstream: limit
            for upstream, limit in self._limits.items()
            if limit.rate is not None
        }

    @property
    def has_blocks(self) -> bool:
        """Return whether any upstream may be blocked."""
        return bool(self._blocked_until or self._paused_until)

    def rate_of(self, upstream: Incarnation) -> float | None:
        """Return the limit of an upstream; ``None`` if it has none."""
        limit = self._limits.get(upstream)
        return None if limit is None else limit.rate

    def record_answer(
        self, upstream: Incarnation, rate: float | None, sent_at: float
    ) -> bool:
        """Record what an answer names; return whether that is notable.

        The end of a limit counts only from requests that were sent after it
        was last heard.

        :param sent_at: when the request was sent, in monotonic seconds
        """
        known = self._limits.get(upstream)
        if rate is None and (known is None or known.heard_at > sent_at):
            return False
        is_notable = _is_notable(None if known is None else known.rate, rate)
        self._set(upstream, RateLimit(rate, self._clock.monotonic()))
        return is_notable

    def learn(self, upstream: Incarnation, limit: RateLimit) -> None:
        """Record what another router has heard, if it is newer."""
        known = self._limits.get(upstream)
        if known is None or known.heard_at < limit.heard_at:
            self._set(upstream, limit)

    def block(self, upstream: Incarnation, duration: timedelta) -> None:
        """Send nothing to an upstream for some time."""
        until = self._clock.monotonic() + duration.total_seconds()
        self._blocked_until[upstream] = until

    def pause(self, upstream: Incarnation, duration: timedelta) -> bool:
        """Send nothing to an upstream that asks for it; return whether it was
        not paused already.

        A shorter pause does not end a longer one.
        """
        is_new = not self.time_paused(upstream)
        until = self._clock.monotonic() + duration.total_seconds()
        self._paused_until[upstream] = max(
            until, self._paused_until.get(upstream, until)
        )
        return is_new

    def time_blocked(self, upstream: Incarnation) -> timedelta:
        """Return how long nothing may be sent to an upstream."""
        return max(
            self.time_paused(upstream),
            self._remaining(self._blocked_until, upstream),
        )

    def time_paused(self, upstream: Incarnation) -> timedelta:
        """Return how long an upstream still wants nothing."""
        return self._remaining(self._paused_until, upstream)

    async def await_pause_end(
        self, upstream: Incarnation, max_wait: timedelta
    ) -> bool:
        """Wait until an upstream takes requests again, if it does in time.

        The requests that wait for it go on at random times afterwards, until
        the longest wait is over.
        """
        paused = self.time_paused(upstream)
        if not paused:
            return True
        if paused > max_wait:
            return False
        spread = (max_wait - paused) * random.random()
        await self._clock.sleep(paused + spread)
        return not self.time_paused(upstream)

    def forget_unlisted(self, listed: Iterable[Incarnation]) -> None:
        """Forget the upstreams that are not listed any more."""
        known: Collection[Incarnation] = set(listed)
        for record in (self._limits, self._blocked_until, self._paused_until):
            for upstream in record.keys() - known:
                record.pop(upstream)

    def _remaining(
        self, ends: dict[Incarnation, float], upstream: Incarnation
    ) -> timedelta:
        until = ends.get(upstream)
        if until is None:
            return timedelta(0)
        remaining_s = until - self._clock.monotonic()
        if remaining_s <= 0:
            ends.pop(upstream)
        return timedelta(seconds=max(0, remaining_s))

    def _set(self, upstream: Incarnation, limit: RateLimit) -> None:
        self._limits[upstream] = limit
        if limit.rate is None:
            self._blocked_until.pop(upstream, None)


def _is_notable(before: float | None, after: float | None) -> bool:
    if before is None or after is None:
        return before is not after
    return abs(after - before) > NOTABLE_CHANGE * max(before, after)
