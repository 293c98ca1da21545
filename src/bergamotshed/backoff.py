"""
bergamotshed.backoff
~~~~~~~~~~~~~~~~~~~~

Exponential backoff with jitter.
"""

__all__ = ('Backoff',)

import random
from datetime import timedelta

FIRST_PAUSE = timedelta(milliseconds=100)
MAX_PAUSE = timedelta(seconds=2)
GROWTH_FACTOR = 2
MIN_JITTER_FACTOR = 0.5


class Backoff:
    """Pauses between retries that double up to a limit, with random jitter.

    :param first_pause: the first pause before jitter
    :param max_pause: the longest pause before jitter
    :param rng: source of the jitter
    """

    def __init__(
        self,
        first_pause: timedelta = FIRST_PAUSE,
        max_pause: timedelta = MAX_PAUSE,
        rng: random.Random | None = None,
    ) -> None:
        self._first_pause = first_pause
        self._max_pause = max_pause
        self._rng = rng or random.Random()
        self._pause = first_pause

    def next_pause(self) -> timedelta:
        """Return how long to wait now, and lengthen the pause after it."""
        pause = self._pause
        self._pause = min(pause * GROWTH_FACTOR, self._max_pause)
        return pause * self._rng.uniform(MIN_JITTER_FACTOR, 1)

    def reset(self) -> None:
        """Start again from the first pause, after a success."""
        self._pause = self._first_pause
