import asyncio
from datetime import timedelta

import pytest

from bergamotshed.clock import ManualClock
from bergamotshed.process.drain import Drain, DrainPhase

ENTRIES_LIFETIME = timedelta(seconds=30)
FINISH_TIMEOUT = timedelta(minutes=1)


class Requests:
    """One request in flight until a given time."""

    def __init__(self, clock: ManualClock, ends_at: float) -> None:
        self._clock = clock
        self._ends_at = ends_at

    def count(self) -> int:
        return int(self._clock.monotonic() < self._ends_at)


@pytest.mark.parametrize(
    ('ends_at', 'stopped_at'),
    [
        pytest.param(0, 30, id='nothing-in-flight'),
        pytest.param(45, 45, id='waits-for-requests-in-flight'),
        pytest.param(500, 90, id='gives-up-at-the-timeout'),
    ],
)
async def test_a_drain_ends_after_the_old_entries_expired(
    ends_at: float, stopped_at: float
) -> None:
    clock = ManualClock()
    announced_at: list[float] = []

    async def announce_leaving() -> None:
        announced_at.append(clock.monotonic())

    drain = Drain(
        announce_leaving,
        lambda: ENTRIES_LIFETIME,
        Requests(clock, ends_at).count,
        clock,
        FINISH_TIMEOUT,
    )
    drain_task = asyncio.create_task(drain.run())
    await asyncio.sleep(0)
    phases = [drain.phase]
    drain.request()
    drain.request()
    await drain_task
    assert announced_at == [0]
    phases.append(drain.phase)
    assert phases == [DrainPhase.SERVING, DrainPhase.STOPPED]
    assert clock.monotonic() == pytest.approx(stopped_at, abs=0.1)
