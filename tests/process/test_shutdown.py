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
