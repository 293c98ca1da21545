"""
bergamotshed.routing.rate_home
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Grants sends to upstreams that limit the requests a second from all routers.
"""

__all__ = ('RateGrant', 'RateHome')

from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from ..upstreams.types import Incarnation

#: How much of an unused limit may be used later at once.
BURST = timedelta(milliseconds=500)
#: Rate at which an upstream is sent requests if it takes none, so that the end
#: of its limit is noticed; requests a second.
MIN_RATE = 0.1
#: Upstreams that are remembered; the least recently granted are dropped first.
MAX_UPSTREAMS = 4096


@dataclass(frozen=True, slots=True)
class RateGrant:
    """The answer to a router that wants to send.

    :ivar wait: if it is granted, how long to wait before sending; otherwise
        how long until it may be
    """

    is_granted: bool
    wait: timedelta


class RateHome:
    """Spaces the sends to each upstream.

    Keeps for each upstream the time from which on the next send is due (the
    generic cell rate algorithm). An upstream that is new to this home starts
    without an unused share: its former home may have granted that.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._next_at: dict[Incarnation, float] = {}

    def grant(
        self, upstream: Incarnation, rate: float, max_wait: timedelta
    ) -> RateGrant:
        """Grant a send, unless it would have to wait too long.

        :param rate: requests a second that this home may grant
        """
        now = self._clock.monotonic()
        earliest = now - BURST.total_seconds()
        next_at = max(self._next_at.pop(upstream, now), earliest)
        wait = timedelta(seconds=max(0, next_at - now))
        is_granted = wait <= max_wait
        if is_granted:
            next_at += 1 / max(rate, MIN_RATE)
        self._next_at[upstream] = next_at
        if len(self._next_at) > MAX_UPSTREAMS:
            self._next_at.pop(next(iter(self._next_at)))
        return RateGrant(is_granted, wait)
