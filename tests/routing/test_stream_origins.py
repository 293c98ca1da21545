"""How long and how many origins of streams are remembered."""

from datetime import timedelta

from bergamotshed.clock import ManualClock
from bergamotshed.routing.stream_origins import (
    STREAM_LIFETIME,
    StreamOrigin,
    StreamOriginMemory,
)

SECOND = timedelta(seconds=1)
ORIGIN = StreamOrigin('s', 'v1')
OTHER = StreamOrigin('s', 'v2')


def test_an_origin_is_remembered_for_the_lifetime_of_a_stream() -> None:
    clock = ManualClock()
    memory = StreamOriginMemory(clock)
    memory.record(1, ORIGIN)
    clock.advance(STREAM_LIFETIME)
    assert memory.find(1) == ORIGIN
    clock.advance(SECOND)
    assert memory.find(1) is None


def test_the_first_origin_of_a_stream_counts() -> None:
    memory = StreamOriginMemory(ManualClock())
    memory.record(1, ORIGIN)
    memory.record(1, OTHER)
    assert memory.find(1) == ORIGIN


def test_the_oldest_origins_are_dropped_first() -> None:
    memory = StreamOriginMemory(ManualClock(), max_streams=2)
    for key in (1, 2, 3):
        memory.record(key, ORIGIN)
    assert [memory.find(key) for key in (1, 2, 3)] == [None, ORIGIN, ORIGIN]


def test_old_origins_take_no_memory() -> None:
    clock = ManualClock()
    memory = StreamOriginMemory(clock)
    memory.record(1, ORIGIN)
    clock.advance(STREAM_LIFETIME + SECOND)
    memory.record(2, ORIGIN)
    assert len(memory) == 1
