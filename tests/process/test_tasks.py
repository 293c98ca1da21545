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


async def test_a_child_that_fails_when_cancelled_delays_no_stop() -> None:
    """A task group then raises the child's error, not the cancellation."""
    is_running = asyncio.Event()

    async def fail_when_cancelled() -> None:
        is_running.set()
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            raise RuntimeError('the session is closed') from None

    async def run() -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(fail_when_cancelled())

    task = BackgroundTask(run, ManualClock())
    await task.start()
    await is_running.wait()
    async with asyncio.timeout(2):
        await task.stop()
