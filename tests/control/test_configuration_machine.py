"""Random runs of publishes, lost answers, retention, refreshes and restarts.

No reader may put a wrong or an older configuration in force.
"""

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


class CheckedConfiguration(ConfigurationInForce):
    """Fails when an older version is put in force after a newer one.

    :param floor: the newest version that this VM is known to have had in
        force
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
        self.expected_fleets: dict[str, Fleet] = {}
        self.history: dict[int, Fleet] = {NO_VERSION: NO_FLEET}
        self.sent_records: list[ConfigurationRecord] = []
        self.delayed_records: list[ConfigurationRecord] = []
        self.configurations = [
            CheckedConfiguration(self.history, NO_VERSION)
            for _ in range(READERS)
        ]
        self.followers = [self.make_follower(index) for index in range(READERS)]

    def teardown(self) -> None:
        self.runner.close()

    def make_follower(self, index: int) -> ConfigurationFollower:
        async def pull(version: int) -> tuple[int, Fleet] | None:
            newest = max(
                self.configurations,
                key=lambda configuration: configuration.version,
            )
            if newest.version <= version:
                return None
            return newest.version, newest.fleet

        return ConfigurationFollower(
            self.log, self.configurations[index], self.clock, pull
        )

    @property
    def version(self) -> int:
        return max(self.history)

    def append(self, record: ConfigurationRecord) -> None:
        """Append a record, and add the expected outcome to the history."""
        offset = self.log.write(CONFIGURATION_STREAM, encode_record(record))
        self.sent_records.append(record)
        if isinstance(record, Refresh) or record.base != self.version:
            return
        if isinstance(record, PublishWhole):
            self.history[offset] = record.fleet
        else:
            self.history[offset] = self.expected_fleets[record.publish_id]

    def read(self, index: int) -> bool:
        follower = self.followers[index]
        try:
            self.runner.run(follower.read_log())
        except LogUnavailable:
            return False
        if follower.fold.position == self.log.next(CONFIGURATION_STREAM):
            assert not follower.fold.exact or (
                self.configurations[index].version == self.version
            )
        return True

    def make_publish(
        self, whole: bool, members: set[str]
    ) -> ConfigurationRecord:
        fleet = make_fleet(*sorted(members))
        self.number += 1
        number = self.number
        read_to = self.log.next(CONFIGURATION_STREAM)
        if whole or self.version == NO_VERSION:
            return PublishWhole(f'p{number}', self.version, read_to, fleet)
        delta = compute_delta(self.history[self.version], fleet)
        self.expected_fleets[f'p{number}'] = fleet
        return PublishDelta(f'p{number}', self.version, read_to, delta)

    def make_refresh(self) -> ConfigurationRecord:
        fleet = self.history[self.version]
        return Refresh(self.version, self.log.next(CONFIGURATION_STREAM), fleet)

    @rule(whole=st.booleans(), members=MEMBERS)
    def publish(self, whole: bool, members: set[str]) -> None:
        self.append(self.make_publish(whole, members))

    @rule(first=MEMBERS, second=MEMBERS, index=INDEX)
    def race(self, first: set[str], second: set[str], index: int) -> None:
        """Two operators publish with the same base."""
        records = [
            self.make_publish(True, first),
            self.make_publish(False, second),
        ]
        for record in records:
            self.append(record)
        self.catch_up(index)

    @rule(whole=st.booleans(), members=MEMBERS)
    def delay_publish(self, whole: bool, members: set[str]) -> None:
        """An operator reads the stream to its end; its publish is delayed."""
        self.delayed_records.append(self.make_publish(whole, members))

    @precondition(lambda self: self.version != NO_VERSION)
    @rule(late=st.booleans())
    def refresh_in_force(self, late: bool) -> None:
        """The lease's holder appends a refresh, at once or with a delay."""
        if late:
            self.delayed_records.append(self.make_refresh())
        else:
            self.append(self.make_refresh())

    @precondition(lambda self: self.delayed_records)
    @rule(data=st.data())
    def deliver(self, data: st.DataObject) -> None:
        """A delayed record reaches the log; the order is random."""
        index = data.draw(st.integers(0, len(self.delayed_records) - 1))
        self.append(self.delayed_records.pop(index))

    @precondition(lambda self: self.sent_records)
    @rule(data=st.data())
    def repeat(self, data: st.DataObject) -> None:
        """A writer whose answer was lost repeats its record."""
        self.append(data.draw(st.sampled_from(self.sent_records)))

    @rule()
    def write_invalid_record(self) -> None:
        self.log.write(CONFIGURATION_STREAM, b'\xc1')

    @precondition(lambda self: self.version != NO_VERSION)
    @rule(keep=st.integers(0, 3), index=INDEX)
    def forget(self, keep: int, index: int) -> None:
        """Retention drops records that some readers have not read yet."""
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
        """Replace a VM by one without state.

        Its floor is kept if its version can be recovered. With neither a
        refresh record in the log nor a peer with that version, nobody can
        know what it had in force.
        """
        if refreshed and self.version != NO_VERSION:
            self.append(self.make_refresh())
        others = [
            configuration
            for configuration in self.configurations
            if configuration is not self.configurations[index]
        ]
        known = max(configuration.version for configuration in others)
        floor = self.configurations[index].floor
        if self.log.down or not refreshed:
            floor = min(floor, known)
        self.configurations[index] = CheckedConfiguration(self.history, floor)
        self.followers[index] = self.make_follower(index)
        while self.read(index) and not self.followers[index].status.caught_up:
            continue


ConfigurationMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=50, deadline=None, derandomize=True
)
TestConfiguration = ConfigurationMachine.TestCase
