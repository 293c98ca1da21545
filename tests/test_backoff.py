import random
from datetime import timedelta

from bergamotshed.backoff import Backoff


def test_pauses_double_within_jitter_and_reset() -> None:
    second = timedelta(seconds=1)
    backoff = Backoff(second, second * 4, random.Random(7))
    for full_pause_s in (1, 2, 4, 4):
        assert (
            full_pause_s / 2
            <= backoff.next_pause().total_seconds()
            <= full_pause_s
        )
    backoff.reset()
    assert backoff.next_pause() <= second
