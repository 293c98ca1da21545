"""
tests.held_requests
~~~~~~~~~~~~~~~~~~~

Counts what the upstreams of a service hold and judges it by the load bound of
the platform.
"""

__all__ = ('HeldRequests',)

from collections import deque
from collections.abc import Iterable

LIMIT_FACTOR = 2
LIMIT_SLACK = 3
WINDOW_S = 5
#: Number of requests above the limit below which a window is not judged.
MIN_OVER_LIMIT = 20


class HeldRequests:
    """The requests on each upstream.

    :ivar held: requests by the upstream's name
    :ivar accepted_count: requests that arrived
    :ivar over_limit_count: requests that reached an upstream above the limit
    :ivar worst_share: largest share of them in a window with at least
        ``MIN_OVER_LIMIT``
    """

    def __init__(self, names: Iterable[str]) -> None:
        self.held = dict.fromkeys(names, 0)
        self.accepted_count = 0
        self.over_limit_count = 0
        self.worst_share = 0.0
        self._window: deque[tuple[float, bool]] = deque()

    @property
    def over_limit_share(self) -> float:
        """Return the share of all requests."""
        return self.over_limit_count / self.accepted_count

    def accept(self, name: str, now_s: float = 0) -> None:
        """Count a request that reaches an upstream."""
        mean = sum(self.held.values()) / len(self.held)
        is_over = self.held[name] > LIMIT_FACTOR * mean + LIMIT_SLACK
        self.accepted_count += 1
        self.over_limit_count += is_over
        self.held[name] += 1
        self._judge_window(now_s, is_over=is_over)

    def end(self, name: str) -> None:
        """Count the end of a request."""
        self.held[name] -= 1

    def _judge_window(self, now_s: float, *, is_over: bool) -> None:
        window = self._window
        window.append((now_s, is_over))
        while window[0][0] < now_s - WINDOW_S:
            window.popleft()
        over_count = sum(over for _, over in window)
        is_whole = now_s - window[0][0] > WINDOW_S * 0.9
        if is_whole and over_count >= MIN_OVER_LIMIT:
            self.worst_share = max(self.worst_share, over_count / len(window))
