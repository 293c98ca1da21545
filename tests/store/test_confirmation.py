"""Reads that confirm a topic for several callers."""

import asyncio

from bergamotshed.store.confirmation import SharedConfirmation


class SlowReads:
    """Reads that end when they are told to.

    :ivar reads: their results, in the order in which they were sent
    """

    def __init__(self) -> None:
        self.reads: list[asyncio.Future[bool]] = []

    async def read(self) -> bool:
        self.reads.append(asyncio.get_running_loop().create_future())
        return await self.reads[-1]

    async def end(self, place: int, *, is_confirmed: bool) -> None:
        self.reads[place].set_result(is_confirmed)
        await let_run()


async def let_run() -> None:
    for _ in range(8):
        await asyncio.sleep(0)


async def call(confirm: SharedConfirmation) -> 'asyncio.Task[bool]':
    task = asyncio.create_task(confirm())
    await let_run()
    return task


async def test_a_read_sent_before_a_call_does_not_confirm_it() -> None:
    slow = SlowReads()
    confirm = SharedConfirmation(slow.read)
    first = await call(confirm)
    later = [await call(confirm), await call(confirm)]
    await slow.end(0, is_confirmed=True)
    assert await first
    assert not any(task.done() for task in later)
    assert len(slow.reads) == 2
    await slow.end(1, is_confirmed=False)
    assert await asyncio.gather(*later) == [False, False]
    last = await call(confirm)
    await slow.end(2, is_confirmed=True)
    assert await last


async def test_a_call_that_is_cancelled_leaves_the_read_to_the_others() -> None:
    slow = SlowReads()
    confirm = SharedConfirmation(slow.read)
    first = await call(confirm)
    second, third = await call(confirm), await call(confirm)
    first.cancel()
    second.cancel()
    await slow.end(0, is_confirmed=False)
    await slow.end(1, is_confirmed=True)
    assert await third
