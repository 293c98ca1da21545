from datetime import timedelta

import pytest

from bergamotshed.clock import ManualClock
from bergamotshed.intake.pacing import Pacer

COSTLY = timedelta(milliseconds=8)


class Parsing:
    """Takes a set time on a manual clock."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.pacer = Pacer(self.clock)

    def parse(self, connection: str, duration: timedelta = COSTLY) -> float:
        return self.pacer.run(connection, lambda: self.clock.advance(duration))


def test_cheap_pieces_need_no_pause() -> None:
    parsing = Parsing()
    for number in range(100):
        cheap = timedelta(microseconds=900)
        assert parsing.parse(str(number % 3), cheap) == 0


def test_a_single_costly_connection_needs_no_pause() -> None:
    parsing = Parsing()
    parsing.parse('a')
    parsing.clock.advance(COSTLY)
    assert [parsing.parse('a') for _ in range(10)] == [0] * 10


@pytest.mark.parametrize('count', [2, 5, 64])
def test_costly_connections_leave_half_of_the_time(count: int) -> None:
    parsing = Parsing()
    resumed_at = dict.fromkeys(map(str, range(count)), 0.0)
    busy_s = 0.0
    for _ in range(500):
        name = min(resumed_at, key=resumed_at.__getitem__)
        wait_s = resumed_at[name] - parsing.clock.monotonic()
        if wait_s > 0:
            parsing.clock.advance(timedelta(seconds=wait_s))
        pause_s = parsing.parse(name)
        busy_s += COSTLY.total_seconds()
        resumed_at[name] = parsing.clock.monotonic() + pause_s
    assert busy_s <= 0.55 * max(resumed_at.values())
