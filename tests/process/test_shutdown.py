import math
from datetime import timedelta

import pytest

from bergamotshed.clock import ManualClock
from bergamotshed.process.shutdown import ShutdownWindow


def seconds(number: float) -> timedelta:
    return timedelta(seconds=number)


@pytest.mark.parametrize(
    ('grace', 'elapsed', 'max_duration', 'is_accepted'),
    [
        pytest.param(8, 2.9, 12, True, id='old entry addresses still in use'),
        pytest.param(8, 3.1, 12, False, id='would not finish'),
        pytest.param(8, 3.1, 2, True, id='can finish'),
        pytest.param(8, 6.5, 2, False, id='too late to finish'),
        pytest.param(2, 0.9, 12, False, id='short grace period'),
    ],
)
def test_a_stopping_process_accepts_what_can_finish(
    grace: float, elapsed: float, max_duration: float, is_accepted: bool
) -> None:
    clock = ManualClock()
    window = ShutdownWindow(lambda: seconds(grace), clock)
    assert window.can_accept(seconds(max_duration))
    window.begin()
    clock.advance(seconds(elapsed))
    window.begin()
    assert window.can_accept(seconds(max_duration)) is is_accepted


@pytest.mark.parametrize(
    ('paused', 'max_duration', 'is_accepted'),
    [
        pytest.param(0, 12, True, id='no pause'),
        pytest.param(3.5, 12, False, id='callers had time to leave'),
        pytest.param(3.5, 3, True, id='ends before the process'),
        pytest.param(3.5, 4.5, False, id='would not finish'),
        pytest.param(7.5, 0.1, False, id='too late'),
    ],
)
def test_a_process_that_was_paused_at_the_signal_accepts_less(
    paused: float, max_duration: float, is_accepted: bool
) -> None:
    clock = ManualClock()
    window = ShutdownWindow(lambda: seconds(8), clock)
    for _ in range(3):
        clock.advance(seconds(0.05))
        window.record_check()
    clock.advance(seconds(paused))
    # The check that is due at the end of the pause may come before the signal.
    window.record_check()
    window.begin()
    assert window.can_accept(seconds(max_duration)) is is_accepted
    assert window.elapsed == seconds(0)
    assert window.max_elapsed == seconds(paused)


def test_accepted_requests_end_before_the_process() -> None:
    clock = ManualClock()
    window = ShutdownWindow(lambda: seconds(8), clock)
    assert window.finish_by == math.inf
    window.begin()
    clock.advance(seconds(2.5))
    assert window.finish_by == pytest.approx(7.36)
