import random
from datetime import timedelta

from bergamotshed.backoff import Backoff


def test_pauses_double_within_jitter_and_reset() -> None:
    second = timedelta(seconds=1)
    backoff = Backoff(second, second * 4, random.Random(7))
    for whole in (1, 2, 4, 4):
        assert whole / 2 <= backoff.next_pause().total_seconds() <= whole
    backoff.reset()
    assert backoff.next_pause() <= second
