import asyncio
from datetime import timedelta

import pytest

from bergamotshed.clock import SystemClock
from bergamotshed.dispatch.deadline import Deadline

SOON = timedelta(seconds=0.05)


def deadline(left: timedelta = SOON) -> Deadline:
    return Deadline(SystemClock(), left)


async def test_waits_end_at_the_deadline() -> None:
    one = deadline()
    assert await one.wait(asyncio.sleep(0, 'told')) == 'told'
    for _ in range(2):
        with pytest.raises(TimeoutError):
            await one.wait(asyncio.sleep(10))
    assert one.has_passed
    current = asyncio.current_task()
    assert current is not None
    assert not current.cancelling()


async def test_work_between_waits_is_not_cancelled() -> None:
    one = deadline()
    await one.wait(asyncio.sleep(0))
    await asyncio.sleep(SOON.total_seconds() * 2)
    with pytest.raises(TimeoutError):
        await one.wait(asyncio.sleep(10))


async def test_a_cancellation_from_outside_stays_one() -> None:
    one = deadline(timedelta(seconds=10))
    task = asyncio.create_task(one.wait(asyncio.sleep(10)))
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    one.close()


async def test_the_timer_can_be_closed() -> None:
    one = deadline()
    await one.wait(asyncio.sleep(0))
    one.close()
    await one.wait(asyncio.sleep(SOON.total_seconds() * 2))


async def test_nothing_is_left_of_no_time() -> None:
    with pytest.raises(TimeoutError):
        await deadline(timedelta()).wait(asyncio.sleep(1))
