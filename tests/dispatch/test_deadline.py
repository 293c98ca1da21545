import asyncio
from datetime import timedelta

import pytest

from bergamotshed.clock import SystemClock
from bergamotshed.dispatch.deadline import Deadline

DURATION = timedelta(seconds=0.05)


def make_deadline(duration: timedelta = DURATION) -> Deadline:
    return Deadline(SystemClock(), duration)


async def test_waits_end_at_the_deadline() -> None:
    deadline = make_deadline()
    assert await deadline.wait(asyncio.sleep(0, 'result')) == 'result'
    for _ in range(2):
        with pytest.raises(TimeoutError):
            await deadline.wait(asyncio.sleep(10))
    assert deadline.has_passed
    current = asyncio.current_task()
    assert current is not None
    assert not current.cancelling()


async def test_work_between_waits_is_not_cancelled() -> None:
    deadline = make_deadline()
    await deadline.wait(asyncio.sleep(0))
    await asyncio.sleep(DURATION.total_seconds() * 2)
    with pytest.raises(TimeoutError):
        await deadline.wait(asyncio.sleep(10))


async def test_a_cancellation_by_others_is_not_a_timeout() -> None:
    deadline = make_deadline(timedelta(seconds=10))
    task = asyncio.create_task(deadline.wait(asyncio.sleep(10)))
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    deadline.close()


async def test_no_timeout_after_close() -> None:
    deadline = make_deadline()
    await deadline.wait(asyncio.sleep(0))
    deadline.close()
    await deadline.wait(asyncio.sleep(DURATION.total_seconds() * 2))


async def test_a_deadline_of_zero_has_passed() -> None:
    with pytest.raises(TimeoutError):
        await make_deadline(timedelta()).wait(asyncio.sleep(1))
