"""
bergamotshed.backoff
~~~~~~~~~~~~~~~~~~~~

Growing, jittered pauses between tries.
"""

__all__ = ('Backoff',)

import random
from datetime import timedelta

FIRST_PAUSE = timedelta(milliseconds=100)
MAX_PAUSE = timedelta(seconds=2)
GROWTH = 2
LEAST_SHARE = 0.5


class Backoff:
    """Pauses that double up to a limit, each cut by a random share.

    :param first_pause: the first pause before jitter
    :param max_pause: the limit before jitter
    :param rng: source of the jitter
    """

    def __init__(
        self,
        first_pause: timedelta = FIRST_PAUSE,
        max_pause: timedelta = MAX_PAUSE,
        rng: random.Random | None = None,
    ) -> None:
        self._first = first_pause
        self._longest = max_pause
        self._rng = rng or random.Random()
        self._pause = first_pause

    def next_pause(self) -> timedelta:
        """Return how long to wait now and grow the next pause."""
        pause = self._pause
        self._pause = min(pause * GROWTH, self._longest)
        return pause * self._rng.uniform(LEAST_SHARE, 1)

    def reset(self) -> None:
        """Begin anew after a success."""
        self._pause = self._first
