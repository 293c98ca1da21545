"""The ring on which keys are followed by names."""

from collections import Counter

import pytest

from bergamotshed.routing.hashing import stable_hash, successors

NAMES = tuple(f'router-{number}' for number in range(12))
KEYS = [stable_hash('key', str(number)) for number in range(2000)]


@pytest.mark.parametrize('count', [0, 1, 3, 12, 20])
def test_as_many_different_names_follow_as_there_are(count: int) -> None:
    following = successors(KEYS[0], NAMES, count)
    assert len(set(following)) == len(following) == min(count, len(NAMES))


def test_no_name_follows_if_there_is_none() -> None:
    assert successors(KEYS[0], (), 3) == []


def test_every_name_follows_some_key() -> None:
    firsts = Counter(successors(key, NAMES, 1)[0] for key in KEYS)
    assert set(firsts) == set(NAMES)


def test_a_lost_name_is_replaced_by_the_next_ones() -> None:
    for key in KEYS[:100]:
        before = successors(key, NAMES, 4)
        left = tuple(name for name in NAMES if name != before[0])
        assert successors(key, left, 3) == before[1:]
