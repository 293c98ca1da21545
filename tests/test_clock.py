from datetime import timedelta

from bergamotshed.clock import ManualClock


async def test_manual_clock_moves_only_when_advanced_or_slept() -> None:
    clock = ManualClock()
    start = clock.now()
    clock.advance(timedelta(seconds=2))
    await clock.sleep(timedelta(seconds=1))
    assert clock.monotonic() == 3.0
    assert clock.now() - start == timedelta(seconds=3)
