from collections.abc import Sequence
from datetime import timedelta

import pytest

from bergamotshed.clock import ManualClock
from bergamotshed.routing.identical import CUT_LIFETIME, IdenticalRuns

SAME = 7
OTHER = 8

# name: (previous steps, upstreams of known crashes, whether a run may start)
CASES: dict[str, tuple[Sequence[str], tuple[str, ...], bool]] = {
    'nothing runs': ((), (), True),
    'one runs': (('start',), (), True),
    'two run': (('start', 'start'), (), False),
    'one was cut': (('start', 'cut a'), (), True),
    'a cut that was confirmed as a crash': (('start', 'cut a'), ('a',), True),
    'one was cut, one runs': (('start', 'cut a', 'start'), (), False),
    'one crash, one runs': (('start',), ('a',), False),
    'cut by one crash': (('start', 'start', 'cut a', 'cut a'), ('a',), True),
    'cut on two': (('start', 'start', 'cut a', 'cut b'), ('a',), False),
    'cuts are forgotten': (
        ('start', 'start', 'cut a', 'cut b', 'wait'),
        (),
        True,
    ),
    'crashes are not forgotten': (
        ('start', 'start', 'wait'),
        ('a', 'a'),
        False,
    ),
    'ended runs do not count': (('start', 'start', 'end a', 'end a'), (), True),
}


def apply_step(runs: IdenticalRuns, clock: ManualClock, step: str) -> None:
    kind, _, upstream = step.partition(' ')
    if kind == 'start':
        runs.record_start(SAME)
    elif kind == 'wait':
        clock.advance(CUT_LIFETIME + timedelta(milliseconds=1))
    else:
        runs.record_end(SAME, upstream, was_cut=kind == 'cut')


@pytest.mark.parametrize('name', CASES)
def test_bounds_the_runs_of_one_request(name: str) -> None:
    steps, crashed_upstreams, allowed = CASES[name]
    clock = ManualClock()
    runs = IdenticalRuns(clock)
    for step in steps:
        apply_step(runs, clock, step)
    assert (
        runs.can_start(SAME, runs.crashes(SAME, crashed_upstreams)) is allowed
    )
    assert runs.can_start(OTHER, runs.crashes(OTHER, ()))
    assert runs.can_start(0, runs.crashes(0, ()))
