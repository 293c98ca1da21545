import pytest

from bergamotshed.clock import ManualClock
from bergamotshed.log.types import LogPage, LogUnavailable
from bergamotshed.operators.publish import (
    Published,
    PublishOutcomeUnknown,
    PublishRefused,
    publish,
)

from ..control.fakes import MemoryLog
from ..control.test_configuration import make_fleet

STREAM = 'configuration'
FLEET = make_fleet('a')


class ForgetfulLog(MemoryLog):
    """Hides new records for some reads, as a slow append would."""

    hidden = 0

    async def read(self, stream: str, start: int, **options: object) -> LogPage:
        page = await super().read(stream, start)
        if self.hidden and page.records:
            self.hidden -= 1
            return LogPage(page.first, start, ())
        return page


async def test_nothing_is_published_while_the_log_is_down() -> None:
    log = MemoryLog()
    log.down = True
    with pytest.raises(LogUnavailable):
        await publish(log, -1, FLEET, clock=ManualClock())
    assert log.next(STREAM) == 0


async def test_outcome_is_unknown_when_the_log_goes_away_after_it() -> None:
    class LeavingLog(MemoryLog):
        async def append(self, stream: str, payload: bytes) -> int:
            try:
                return await super().append(stream, payload)
            finally:
                self.down = True

    log = LeavingLog()
    with pytest.raises(PublishOutcomeUnknown, match='publish again'):
        await publish(log, -1, FLEET, publish_id='p', clock=ManualClock())
    log.down = False
    again = await publish(log, -1, FLEET, publish_id='p', clock=ManualClock())
    assert again == Published(0)
    assert log.next(STREAM) == 1


@pytest.mark.parametrize('hidden', [1, 2, 3])
async def test_record_that_shows_late_is_accepted_once(hidden: int) -> None:
    log = ForgetfulLog()
    log.lose_answers = 1
    log.hidden = hidden
    assert await publish(log, -1, FLEET, clock=ManualClock()) == Published(0)
    other = await publish(log, 0, make_fleet('b'), clock=ManualClock())
    assert isinstance(other, Published)


@pytest.mark.parametrize('base', [-1, 1, 7])
async def test_wrong_base_is_refused_before_an_append(base: int) -> None:
    log = MemoryLog()
    await publish(log, -1, FLEET, clock=ManualClock())
    refused = await publish(log, base, FLEET, clock=ManualClock())
    assert isinstance(refused, PublishRefused)
    assert (refused.current, log.next(STREAM)) == (0, 1)


async def test_trimmed_log_without_a_whole_copy_says_so() -> None:
    log = MemoryLog()
    await publish(log, -1, FLEET, clock=ManualClock())
    await publish(log, 0, make_fleet('b'), clock=ManualClock())
    log.forget(STREAM, 1)
    refused = await publish(log, 1, FLEET, clock=ManualClock())
    assert isinstance(refused, PublishRefused)
    assert 'no longer tells' in refused.detail


async def test_empty_trimmed_log_starts_anew() -> None:
    log = MemoryLog()
    await publish(log, -1, FLEET, clock=ManualClock())
    log.forget(STREAM, 1)
    anew = await publish(log, -1, make_fleet('b'), clock=ManualClock())
    assert anew == Published(1)
