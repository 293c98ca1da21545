import asyncio
from datetime import timedelta

from bergamotshed.clock import ManualClock
from bergamotshed.process.tasks import BackgroundTask


async def test_a_failed_task_is_started_again() -> None:
    starts: list[int] = []
    third_start = asyncio.Event()

    async def run() -> None:
        starts.append(len(starts))
        if len(starts) > 2:
            third_start.set()
            await asyncio.Event().wait()
        raise RuntimeError('broken')

    clock = ManualClock()
    task = BackgroundTask(run, clock)
    await task.start()
    await third_start.wait()
    await task.stop()
    assert starts == [0, 1, 2]
    assert clock.monotonic() == timedelta(seconds=2).total_seconds()
