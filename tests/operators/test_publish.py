import pytest

from bergamotshed.clock import ManualClock
from bergamotshed.log.types import LogPage, LogUnavailable
from bergamotshed.operators.publish import (
    PublishAccepted,
    PublishOutcomeUnknown,
    PublishRefused,
    publish,
)

from ..control.fakes import MemoryLog
from ..control.test_configuration import make_fleet

STREAM = 'configuration'
FLEET = make_fleet('a')


class DelayedLog(MemoryLog):
    """Hides new records from some reads, like an append that shows late."""

    hidden_reads = 0

    async def read(self, stream: str, start: int, **options: object) -> LogPage:
        page = await super().read(stream, start)
        if self.hidden_reads and page.records:
            self.hidden_reads -= 1
            return LogPage(page.first, start, ())
        return page


async def test_nothing_is_published_while_the_log_is_down() -> None:
    log = MemoryLog()
    log.down = True
    with pytest.raises(LogUnavailable):
        await publish(log, -1, FLEET, clock=ManualClock())
    assert log.next(STREAM) == 0


async def test_outcome_is_unknown_if_the_log_fails_after_the_append() -> None:
    class FailingLog(MemoryLog):
        async def append(self, stream: str, payload: bytes) -> int:
            try:
                return await super().append(stream, payload)
            finally:
                self.down = True

    log = FailingLog()
    with pytest.raises(PublishOutcomeUnknown, match='publish again'):
        await publish(log, -1, FLEET, publish_id='p', clock=ManualClock())
    log.down = False
    repeated = await publish(
        log, -1, FLEET, publish_id='p', clock=ManualClock()
    )
    assert repeated == PublishAccepted(0)
    assert log.next(STREAM) == 1


@pytest.mark.parametrize('hidden_reads', [1, 2, 3])
async def test_record_that_becomes_visible_late_is_accepted_once(
    hidden_reads: int,
) -> None:
    log = DelayedLog()
    log.lose_answers = 1
    log.hidden_reads = hidden_reads
    assert await publish(
        log, -1, FLEET, clock=ManualClock()
    ) == PublishAccepted(0)
    successor = await publish(log, 0, make_fleet('b'), clock=ManualClock())
    assert isinstance(successor, PublishAccepted)


@pytest.mark.parametrize('base', [-1, 1, 7])
async def test_wrong_base_is_refused_before_an_append(base: int) -> None:
    log = MemoryLog()
    await publish(log, -1, FLEET, clock=ManualClock())
    refusal = await publish(log, base, FLEET, clock=ManualClock())
    assert isinstance(refusal, PublishRefused)
    assert (refusal.current, log.next(STREAM)) == (0, 1)


async def test_publish_is_refused_on_a_trimmed_log_without_a_full_copy() -> (
    None
):
    log = MemoryLog()
    await publish(log, -1, FLEET, clock=ManualClock())
    await publish(log, 0, make_fleet('b'), clock=ManualClock())
    log.forget(STREAM, 1)
    refusal = await publish(log, 1, FLEET, clock=ManualClock())
    assert isinstance(refusal, PublishRefused)
    assert 'no longer tells' in refusal.detail


async def test_publish_without_base_is_accepted_on_an_empty_trimmed_log() -> (
    None
):
    log = MemoryLog()
    await publish(log, -1, FLEET, clock=ManualClock())
    log.forget(STREAM, 1)
    outcome = await publish(log, -1, make_fleet('b'), clock=ManualClock())
    assert outcome == PublishAccepted(1)
