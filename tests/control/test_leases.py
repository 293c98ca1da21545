import asyncio
import random
from datetime import timedelta

from bergamotshed.clock import ManualClock
from bergamotshed.control.lease_writer import LeaseOptions
from bergamotshed.control.leases import LeaseKeeper

from .fakes import MemoryLog

OPTIONS = LeaseOptions('control', timedelta(seconds=9), timedelta(seconds=2))


def make_keeper(
    log: MemoryLog, name: str, clock: ManualClock, seed: int = 0
) -> LeaseKeeper:
    return LeaseKeeper(
        log, OPTIONS, name, clock, random.Random(f'{name}{seed}')
    )


async def test_first_claim_wins() -> None:
    clock = ManualClock()
    log = MemoryLog(clock)
    first, second = make_keeper(log, 'a', clock), make_keeper(log, 'b', clock)
    await first.step()
    await second.step()
    assert first.remaining() > timedelta(0)
    assert second.remaining() == timedelta(0)
    assert first.fence == 0


async def test_contender_takes_over_only_after_ttl_and_margin() -> None:
    clock = ManualClock()
    log = MemoryLog(clock)
    first, second = make_keeper(log, 'a', clock), make_keeper(log, 'b', clock)
    await first.step()
    await second.step()
    while second.remaining() == timedelta(0):
        await second.step()
        assert first.remaining() == timedelta(0) or not second.remaining()
    assert timedelta(seconds=11) <= timedelta(seconds=clock.monotonic())
    assert second.fence > first.fence


async def test_claim_whose_answer_was_lost_holds_the_lease() -> None:
    clock = ManualClock()
    log = MemoryLog(clock)
    log.lose_answers = 1
    first = make_keeper(log, 'a', clock)
    await first.step()
    await first.step()
    assert first.remaining() > timedelta(0)


async def test_release_lets_a_contender_claim_before_the_ttl() -> None:
    clock = ManualClock()
    log = MemoryLog(clock)
    first, second = make_keeper(log, 'a', clock), make_keeper(log, 'b', clock)
    await first.step()
    await second.step()
    await first.release()
    assert first.remaining() == timedelta(0)
    while second.remaining() == timedelta(0):
        await second.step()
    assert clock.monotonic() < 9


async def test_late_reader_of_a_trimmed_stream_takes_over() -> None:
    clock = ManualClock()
    log = MemoryLog(clock)
    first = make_keeper(log, 'a', clock)
    for _ in range(5):
        await first.step()
    log.forget('leases', log.next('leases'))
    late = make_keeper(log, 'late', clock)
    while late.remaining() == timedelta(0):
        await late.step()
        assert not (first.remaining() and late.remaining())
    await first.step()
    assert first.remaining() == timedelta(0)


async def test_early_answers_of_the_log_cause_no_busy_loop() -> None:
    clock = ManualClock()
    log = MemoryLog(clock)
    log.answers_early = True
    task = asyncio.create_task(make_keeper(log, 'a', clock).run())
    for _ in range(100):
        await asyncio.sleep(0)
    task.cancel()
    assert log.reads <= 21 * max(clock.monotonic(), 1)
