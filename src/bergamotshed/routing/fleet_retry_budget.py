"""
bergamotshed.routing.fleet_retry_budget
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

This router's part of a retry budget that all routers share.

The budget bounds the retries that a service receives from all routers in any
window of some seconds. The part that is proportional to the number of
requests adds up over the routers; the fixed part is divided by their number.
Without it, upstreams that fail many requests at once would be kept overloaded
by unbounded retries.
"""

__all__ = ('FleetRetryBudget', 'FleetRetryBudgetOptions')

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock

#: Fraction of the allowance that is used; the rest covers routers that know
#: different numbers of routers, and requests that are counted late.
USED_SHARE = 0.8
#: Fraction of the fixed allowance that a router uses until one window after
#: its start: its previous process may have spent some in the same window.
USED_SHARE_AFTER_START = 0.4


@dataclass(frozen=True, slots=True)
class FleetRetryBudgetOptions:
    """The budget of the whole fleet.

    :ivar ratio: retries per request
    :ivar slack: further retries in a window
    """

    ratio: float
    slack: float
    window: timedelta


class FleetRetryBudget:
    """Counts requests and retries of each service in a sliding window.

    :param options: returns the budget, which a reload may change
    :param routers: returns the number of routers that share the budget
    """

    def __init__(
        self,
        options: Callable[[], FleetRetryBudgetOptions],
        routers: Callable[[], int],
        clock: Clock,
    ) -> None:
        self._options = options
        self._routers = routers
        self._clock = clock
        self._start_time = clock.boottime()
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    @property
    def services(self) -> tuple[str, ...]:
        """Return the services that have had requests."""
        return tuple(self._requests)

    def record_request(self, service: str) -> None:
        """Count a caller's request."""
        self._times_in_window(self._requests, service).append(
            self._clock.boottime()
        )

    def spend(self, service: str) -> bool:
        """Take one retry; return whether the budget allows it."""
        retries = self._times_in_window(self._retries, service)
        if len(retries) + 1 > self.allowance(service):
            return False
        retries.append(self._clock.boottime())
        return True

    def allowance(self, service: str) -> float:
        """Return the retries that this router may make in a window."""
        options = self._options()
        requests = len(self._times_in_window(self._requests, service))
        slack = options.slack / max(1, self._routers())
        since_start = self._clock.boottime() - self._start_time
        is_new = since_start <= options.window.total_seconds()
        used_share = USED_SHARE_AFTER_START if is_new else USED_SHARE
        return USED_SHARE * options.ratio * requests + used_share * slack

    def _times_in_window(
        self, times_by_service: dict[str, deque[float]], service: str
    ) -> deque[float]:
        times = times_by_service.setdefault(service, deque())
        window = self._options().window.total_seconds()
        horizon = self._clock.boottime() - window
        while times and times[0] < horizon:
            times.popleft()
        return times
