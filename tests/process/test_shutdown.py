from datetime import timedelta

import pytest

from bergamotshed.clock import ManualClock
from bergamotshed.process.shutdown import ShutdownWindow


def seconds(number: float) -> timedelta:
    return timedelta(seconds=number)


@pytest.mark.parametrize(
    ('grace', 'elapsed', 'longest', 'taken'),
    [
        pytest.param(8, 2.9, 12, True, id='old answers still in use'),
        pytest.param(8, 3.1, 12, False, id='would be cut'),
        pytest.param(8, 3.1, 2, True, id='can finish'),
        pytest.param(8, 6.5, 2, False, id='can finish no longer'),
        pytest.param(2, 0.9, 12, False, id='short grace'),
    ],
)
def test_a_stopping_process_takes_what_can_finish(
    grace: float, elapsed: float, longest: float, taken: bool
) -> None:
    clock = ManualClock()
    window = ShutdownWindow(lambda: seconds(grace), clock)
    assert window.can_accept(seconds(longest))
    window.begin()
    clock.advance(seconds(elapsed))
    window.begin()
    assert window.can_accept(seconds(longest)) is taken
