"""Racing operators, lost answers, retention, late refreshes, restarts."""

import asyncio
from datetime import timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from bergamotshed.clock import ManualClock
from bergamotshed.control.configuration import ConfigurationFollower
from bergamotshed.control.fold import NO_VERSION
from bergamotshed.control.records import (
    CONFIGURATION_STREAM,
    ConfigurationRecord,
    PublishDelta,
    PublishWhole,
    Refresh,
    encode_record,
)
from bergamotshed.control.types import ConfigurationInForce
from bergamotshed.fleet import Fleet
from bergamotshed.fleet.delta import compute_delta
from bergamotshed.log.types import LogUnavailable

from .fakes import MemoryLog
from .test_configuration import make_fleet

READERS = 3
INDEX = st.integers(0, READERS - 1)
MEMBERS = st.sets(st.sampled_from('abcd'))
NO_FLEET = Fleet()


class Watched(ConfigurationInForce):
    """Fails when an older version comes into force after a newer one.

    :param floor: the newest version that this VM ever had in force
    """

    def __init__(self, history: dict[int, Fleet], floor: int) -> None:
        super().__init__()
        self.history = history
        self.floor = floor

    def advance(self, version: int, fleet: Fleet) -> bool:
        changed = super().advance(version, fleet)
        if changed:
            assert fleet == self.history[version]
            assert version >= self.floor
            self.floor = version
        return changed


class ConfigurationMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner()
        self.clock = ManualClock()
        self.log = MemoryLog(self.clock)
        self.log.page_size = 3
        self.number = 0
        self.wanted: dict[str, Fleet] = {}
        self.history: dict[int, Fleet] = {NO_VERSION: NO_FLEET}
        self.sent: list[ConfigurationRecord] = []
        self.drafts: list[ConfigurationRecord] = []
        self.force = [Watched(self.history, NO_VERSION) for _ in range(READERS)]
        self.followers = [self.follower(index) for index in range(READERS)]

    def teardown(self) -> None:
        self.runner.close()

    def follower(self, index: int) -> ConfigurationFollower:
        async def pull(version: int) -> tuple[int, Fleet] | None:
            newest = max(self.force, key=lambda force: force.version)
            if newest.version <= version:
                return None
            return newest.version, newest.fleet

        return ConfigurationFollower(
            self.log, self.force[index], self.clock, pull
        )

    @property
    def version(self) -> int:
        return max(self.history)

    def append(self, record: ConfigurationRecord) -> None:
        """Append, and settle the truth from the drafts' own words."""
        offset = self.log.write(CONFIGURATION_STREAM, encode_record(record))
        self.sent.append(record)
        if isinstance(record, Refresh) or record.base != self.version:
            return
        if isinstance(record, PublishWhole):
            self.history[offset] = record.fleet
        else:
            self.history[offset] = self.wanted[record.publish_id]

    def read(self, index: int) -> bool:
        follower = self.followers[index]
        try:
            self.runner.run(follower.read_log())
        except LogUnavailable:
            return False
        if follower.fold.position == self.log.next(CONFIGURATION_STREAM):
            assert not follower.fold.exact or (
                self.force[index].version == self.version
            )
        return True

    def make(self, whole: bool, members: set[str]) -> ConfigurationRecord:
        fleet = make_fleet(*sorted(members))
        self.number += 1
        number = self.number
        read_to = self.log.next(CONFIGURATION_STREAM)
        if whole or self.version == NO_VERSION:
            return PublishWhole(f'p{number}', self.version, read_to, fleet)
        delta = compute_delta(self.history[self.version], fleet)
        self.wanted[f'p{number}'] = fleet
        return PublishDelta(f'p{number}', self.version, read_to, delta)

    def refresh(self) -> ConfigurationRecord:
        fleet = self.history[self.version]
        return Refresh(self.version, self.log.next(CONFIGURATION_STREAM), fleet)

    @rule(whole=st.booleans(), members=MEMBERS)
    def publish(self, whole: bool, members: set[str]) -> None:
        self.append(self.make(whole, members))

    @rule(first=MEMBERS, second=MEMBERS, index=INDEX)
    def race(self, first: set[str], second: set[str], index: int) -> None:
        """Two operators publish on one base."""
        records = [self.make(True, first), self.make(False, second)]
        for record in records:
            self.append(record)
        self.catch_up(index)

    @rule(whole=st.booleans(), members=MEMBERS)
    def draft(self, whole: bool, members: set[str]) -> None:
        """An operator has read the stream to its end, and is delayed."""
        self.drafts.append(self.make(whole, members))

    @precondition(lambda self: self.version != NO_VERSION)
    @rule(late=st.booleans())
    def refresh_in_force(self, late: bool) -> None:
        """The lease's holder repeats the configuration, frozen or not."""
        if late:
            self.drafts.append(self.refresh())
        else:
            self.append(self.refresh())

    @precondition(lambda self: self.drafts)
    @rule(data=st.data())
    def deliver(self, data: st.DataObject) -> None:
        """A draft reaches the log at last, in any order."""
        index = data.draw(st.integers(0, len(self.drafts) - 1))
        self.append(self.drafts.pop(index))

    @precondition(lambda self: self.sent)
    @rule(data=st.data())
    def repeat(self, data: st.DataObject) -> None:
        """An answer was lost and the same record comes again."""
        self.append(data.draw(st.sampled_from(self.sent)))

    @rule()
    def garbage(self) -> None:
        self.log.write(CONFIGURATION_STREAM, b'\xc1')

    @precondition(lambda self: self.version != NO_VERSION)
    @rule(keep=st.integers(0, 3), index=INDEX)
    def forget(self, keep: int, index: int) -> None:
        """The log's retention passes some readers by, but not all."""
        self.catch_up(index)
        self.log.forget(
            CONFIGURATION_STREAM,
            max(0, self.log.next(CONFIGURATION_STREAM) - keep),
        )

    @rule(down=st.booleans())
    def outage(self, down: bool) -> None:
        self.log.down = down

    @rule(index=INDEX)
    def read_once(self, index: int) -> None:
        self.read(index)

    @rule(index=INDEX)
    def catch_up(self, index: int) -> None:
        fold = self.followers[index].fold
        while self.read(index) and fold.position < self.log.next(
            CONFIGURATION_STREAM
        ):
            continue

    @rule(index=INDEX)
    def pull_from_peers(self, index: int) -> None:
        self.runner.run(self.followers[index].pull_from_peers())

    @rule(seconds=st.integers(1, 4))
    def wait(self, seconds: int) -> None:
        self.clock.advance(timedelta(seconds=seconds))

    @rule(index=INDEX, refreshed=st.booleans())
    def replace_vm(self, index: int, refreshed: bool) -> None:
        """A VM restarts with nothing; its floor stays while one could know.

        With neither a whole copy in the log nor a peer that is as new,
        nobody can know what it had in force.
        """
        if refreshed and self.version != NO_VERSION:
            self.append(self.refresh())
        others = [
            force for force in self.force if force is not self.force[index]
        ]
        known = max(force.version for force in others)
        floor = self.force[index].floor
        if self.log.down or not refreshed:
            floor = min(floor, known)
        self.force[index] = Watched(self.history, floor)
        self.followers[index] = self.follower(index)
        while self.read(index) and not self.followers[index].status.caught_up:
            continue


ConfigurationMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=50, deadline=None, derandomize=True
)
TestConfiguration = ConfigurationMachine.TestCase
