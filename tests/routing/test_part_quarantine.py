"""Parts of requests that were in flight at crashes of upstreams."""

import random
from datetime import timedelta

import pytest

from bergamotshed.clock import ManualClock
from bergamotshed.routing.crashes import Crash, CrashReport, PartSighting
from bergamotshed.routing.part_quarantine import (
    FIRST_TRIAL_DELAY,
    TRIAL_DELAY_FACTOR,
    PartQuarantine,
)
from bergamotshed.routing.part_sightings import MAX_PARTS, select_parts

SECOND = timedelta(seconds=1)
SHORTLY = timedelta(milliseconds=200)
HARMFUL = 99

# Steps of a history, one second apart. A set of parts: the requests in flight
# at a crash had these. ('answered', part): a request with it was answered.
# ('together', sets): upstreams that crash at the same time.
Step = set[int] | tuple[str, int] | tuple[str, list[set[int]]]

# name: (history, parts of a request, whether it is blamed)
HISTORIES: dict[str, tuple[list[Step], set[int], bool]] = {
    'no crash': ([], {1, 2}, False),
    'two crashes': ([{1, 9}, {2, 9}], {9}, False),
    'three crashes': ([{1, 9}, {2, 9}, {3, 9}], {4, 9}, True),
    'sound ones share the first part': (
        [{1, 9}, ('answered', 1), {1, 9}, ('answered', 1), {1, 9}],
        {1, 2},
        False,
    ),
    'harmful one with an answered first part': (
        [{1, 9}, ('answered', 1), {1, 9}, ('answered', 1), {1, 9}],
        {1, 9},
        True,
    ),
    'two that are always together, both present': (
        [{1, 9}, {1, 9}, {1, 9}],
        {1, 9},
        True,
    ),
    'two that are always together, one absent': (
        [{1, 9}, {1, 9}, {1, 9}],
        {1, 2},
        False,
    ),
    'the harmful one has crashed two without the other': (
        [{1, 9}, {1, 9}, {1, 9}, {9}, {9}],
        {9},
        True,
    ),
    'the sound one only ever crashed with the harmful one': (
        [{1, 9}, {1, 9}, {1, 9}, {9}, {9}],
        {1},
        False,
    ),
    'an answer between the crashes': (
        [{9}, {9}, ('answered', 9), {9}, {9}],
        {9},
        False,
    ),
    'crashes after an answer count anew': (
        [{9}, ('answered', 9), {9}, {9}, {9}],
        {9},
        True,
    ),
    'all upstreams fail together': (
        [('together', [{1, 9}, {1, 9}, {1, 9}, {1}])],
        {1, 9},
        False,
    ),
    'several crash each time': (
        [('together', [{9}, {9}]), ('together', [{9}, {9}])],
        {9},
        True,
    ),
    'two harmful parts': (
        [{1, 8}, {1, 9}, ('answered', 1), {8}, {9}, {8}, {9}],
        {8, 2},
        True,
    ),
}


class History:
    """Plays steps at a quarantine."""

    def __init__(self, *, is_home: bool = True) -> None:
        self.clock = ManualClock()
        self.clock.advance(SECOND)
        self.quarantine = PartQuarantine(self.clock, lambda part: is_home)
        self.crash_count = 0

    def play(self, step: Step) -> None:
        self.clock.advance(SECOND)
        now = self.clock.monotonic()
        if isinstance(step, set):
            self.crash(step)
        elif isinstance(step[1], int):
            self.quarantine.record_answer({step[1]}, now)
        else:
            for parts in step[1]:
                self.crash(parts)

    def crash(self, parts: set[int]) -> None:
        self.crash_count += 1
        self.quarantine.record_crash(
            CrashReport(
                Crash(f'e{self.crash_count}', ''),
                (),
                parts=tuple(PartSighting(part, SHORTLY) for part in parts),
            )
        )


@pytest.mark.parametrize('name', HISTORIES)
def test_a_request_is_blamed_for_its_part(name: str) -> None:
    steps, parts, is_blamed = HISTORIES[name]
    history = History()
    for step in steps:
        history.play(step)
    assert history.quarantine.blames(parts) is is_blamed


@pytest.mark.parametrize('seed', range(30))
def test_the_harmful_part_is_found_among_shared_ones(seed: int) -> None:
    rng = random.Random(seed)
    history = History()
    refused_sound = 0
    for _ in range(400):
        history.clock.advance(timedelta(milliseconds=rng.randint(20, 300)))
        parts = {rng.randint(1, 3), rng.randint(10, 14), rng.randint(100, 400)}
        if rng.random() < 0.1:
            parts.add(HARMFUL)
        if history.quarantine.blames(parts):
            refused_sound += HARMFUL not in parts
        elif HARMFUL in parts:
            beside = {rng.randint(1, 3), rng.randint(10, 14)}
            history.crash(parts | beside)
        else:
            now = history.clock.monotonic()
            history.quarantine.record_answer(parts, now)
    assert history.crash_count <= 5
    assert refused_sound == 0


def test_a_router_that_gets_all_reports_judges_alike() -> None:
    history = History()
    for step in ({1, 9}, ('answered', 1), {1, 9}, {1, 9}):
        history.play(step)
    other = PartQuarantine(history.clock, lambda part: True)
    for report in history.quarantine.reports():
        other.record_crash(report)
    assert other.suspects == history.quarantine.suspects == {9}


def test_a_trial_shows_that_a_part_is_sound_again() -> None:
    history = History()
    for _ in range(3):
        history.play({9})
    assert not history.quarantine.admits({9})
    history.clock.advance(FIRST_TRIAL_DELAY)
    assert history.quarantine.admits({9})
    assert not history.quarantine.admits({9})
    history.play(('answered', 9))
    assert history.quarantine.admits({9})


def test_trials_that_crash_upstreams_become_rare() -> None:
    history = History()
    for _ in range(3):
        history.play({9})
    history.clock.advance(FIRST_TRIAL_DELAY)
    assert history.quarantine.admits({9})
    history.play({9})
    history.clock.advance(FIRST_TRIAL_DELAY)
    assert not history.quarantine.admits({9})
    history.clock.advance(FIRST_TRIAL_DELAY * (TRIAL_DELAY_FACTOR - 1))
    assert history.quarantine.admits({9})


def test_only_the_home_of_a_part_lets_trials_through() -> None:
    history = History(is_home=False)
    for _ in range(3):
        history.play({9})
    history.clock.advance(timedelta(minutes=1))
    assert not history.quarantine.admits({9})


def test_crashes_of_long_ago_are_forgotten() -> None:
    history = History()
    for _ in range(3):
        history.play({9})
    history.clock.advance(timedelta(hours=2))
    assert not history.quarantine.blames({9})
    assert history.quarantine.reports() == ()


@pytest.mark.parametrize('count', [0, 1, MAX_PARTS, MAX_PARTS + 1, 5000])
def test_of_many_parts_the_first_and_last_are_followed(count: int) -> None:
    selected = select_parts(range(count))
    assert len(selected) == min(count, MAX_PARTS)
    assert not count or {0, count - 1} <= set(selected)
