import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from datetime import timedelta

import pytest

from bergamotshed.clock import ManualClock
from bergamotshed.control.configuration import (
    OUTAGE_RETRY_INTERVAL,
    ConfigurationFollower,
)
from bergamotshed.control.fold import ConfigurationFold
from bergamotshed.control.records import (
    ConfigurationRecord,
    PublishWhole,
    Refresh,
    encode_record,
)
from bergamotshed.control.refresh import ConfigurationRefresher
from bergamotshed.control.types import ConfigurationInForce
from bergamotshed.fleet import Fleet, LiveModel, Organisation, Service
from bergamotshed.log.types import LogPage, Record
from bergamotshed.operators.publish import Published, PublishRefused, publish

from .fakes import FakeLease, MemoryLog


def make_fleet(*names: str) -> Fleet:
    service = Service('drafting', models=(LiveModel('m', 'v1'),))
    members = tuple(Organisation(name, ('drafting',)) for name in names)
    return Fleet((service,), members)


async def follow(
    follower: ConfigurationFollower, until: Callable[[], bool]
) -> None:
    task = asyncio.create_task(follower.run())
    for _ in range(200):
        if until():
            break
        await asyncio.sleep(0)
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


async def test_only_one_of_two_racing_publishes_wins() -> None:
    log = MemoryLog()
    clock = ManualClock()
    first = await publish(log, -1, make_fleet('a'), clock=clock)
    assert first == Published(0)
    second = await publish(log, 0, make_fleet('a', 'b'), clock=clock)
    loser = await publish(log, 0, make_fleet('c'), clock=clock)
    assert second == Published(1)
    assert isinstance(loser, PublishRefused)
    assert loser.current == 1
    assert '--base=1' in loser.detail


async def test_publish_whose_answer_was_lost_is_found_by_its_id() -> None:
    log = MemoryLog()
    log.lose_answers = 1
    assert await publish(log, -1, make_fleet('a')) == Published(0)
    assert log.next('configuration') == 1


async def test_follower_skips_older_versions() -> None:
    log = MemoryLog()
    for version in range(3):
        await publish(log, version - 1, make_fleet(f'o{version}'))
    versions: list[int] = []

    class RecordingConfiguration(ConfigurationInForce):
        def advance(self, version: int, fleet: Fleet) -> bool:
            versions.append(version)
            return super().advance(version, fleet)

    configuration = RecordingConfiguration()
    follower = ConfigurationFollower(log, configuration, ManualClock())
    await follow(follower, lambda: configuration.version == 2)
    assert set(versions) == {2}
    assert configuration.fleet == make_fleet('o2')


def constant_pull(
    answer: tuple[int, Fleet] | None,
) -> Callable[[int], Awaitable[tuple[int, Fleet] | None]]:
    async def pull(version: int) -> tuple[int, Fleet] | None:
        return answer if answer and answer[0] > version else None

    return pull


@pytest.mark.parametrize(
    ('answer', 'version'), [(None, -1), ((7, make_fleet('a')), 7)]
)
async def test_router_without_a_log_depends_on_its_peers(
    answer: tuple[int, Fleet] | None, version: int
) -> None:
    log = MemoryLog()
    log.down = True
    configuration = ConfigurationInForce()
    follower = ConfigurationFollower(
        log, configuration, ManualClock(), constant_pull(answer)
    )
    await follow(follower, lambda: configuration.version >= 0)
    assert configuration.version == version


def record_page(
    first: int, *records: tuple[int, ConfigurationRecord]
) -> LogPage:
    moment = ManualClock().now()
    stored = tuple(
        Record(offset, moment, encode_record(record))
        for offset, record in records
    )
    return LogPage(first, stored[-1].offset + 1 if stored else first, stored)


def test_an_old_version_of_a_peer_does_not_make_the_fold_exact() -> None:
    fold = ConfigurationFold()
    late = PublishWhole('late', 0, 1, make_fleet('late'))
    fold.apply_page(record_page(5))
    fold.adopt(0, make_fleet('old'))
    fold.apply_page(record_page(5, (5, late)))
    assert (fold.exact, fold.version) == (False, 0)
    fold.apply_page(record_page(5, (6, Refresh(3, 6, make_fleet('new')))))
    assert (fold.exact, fold.version) == (True, 3)


async def test_only_the_newest_version_among_peers_is_put_in_force() -> None:
    log = MemoryLog()
    log.down = True
    answers = [(4, make_fleet('a')), (7, make_fleet('b'))]
    versions: list[int] = []

    async def pull(_version: int) -> tuple[int, Fleet] | None:
        return answers.pop(0) if answers else None

    class RecordingConfiguration(ConfigurationInForce):
        def advance(self, version: int, fleet: Fleet) -> bool:
            changed = super().advance(version, fleet)
            if changed:
                versions.append(version)
            return changed

    configuration = RecordingConfiguration()
    follower = ConfigurationFollower(log, configuration, ManualClock(), pull)
    await follow(follower, lambda: configuration.version >= 0)
    assert versions == [7]


async def test_a_refresh_keeps_the_configuration_in_a_trimmed_log() -> None:
    clock = ManualClock()
    log = MemoryLog(clock)
    await publish(log, -1, make_fleet('a'), clock=clock)
    follower = ConfigurationFollower(log, ConfigurationInForce(), clock)
    lease = FakeLease()
    refresher = ConfigurationRefresher(
        log, lease, follower, clock, timedelta(hours=1)
    )
    await refresher.step()
    assert log.next('configuration') == 1
    await follower.read_log()
    lease.remaining_time = timedelta(0)
    await refresher.step()
    assert log.next('configuration') == 1
    lease.remaining_time = timedelta(seconds=5)
    for _ in range(2):
        await refresher.step()
        await follower.read_log()
    assert log.next('configuration') == 2
    log.forget('configuration', 1)
    outcome = await publish(log, 0, make_fleet('b'), clock=clock)
    assert outcome == Published(2)
    late = ConfigurationInForce()
    newcomer = ConfigurationFollower(log, late, clock)
    await newcomer.read_log()
    assert (late.version, late.fleet) == (2, make_fleet('b'))


class RecordingClock(ManualClock):
    def __init__(self) -> None:
        super().__init__()
        self.pauses: list[timedelta] = []

    async def sleep(self, duration: timedelta) -> None:
        self.pauses.append(duration)
        await super().sleep(duration)


async def test_early_answers_of_the_log_cause_no_busy_loop() -> None:
    clock = RecordingClock()
    log = MemoryLog(clock)
    log.answers_early = True
    follower = ConfigurationFollower(log, ConfigurationInForce(), clock)
    await follow(follower, lambda: log.reads > 20)
    assert log.reads > 20
    assert log.reads <= clock.pauses.count(OUTAGE_RETRY_INTERVAL) + 1
