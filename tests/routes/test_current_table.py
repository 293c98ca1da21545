from datetime import timedelta

from bergamotshed.clock import ManualClock
from bergamotshed.routes.current_table import (
    CurrentRoutingTable,
    RoutingDataDecodeError,
    RoutingDataDecoder,
)
from bergamotshed.routes.types import RoutingData
from bergamotshed.store.types import Entry


class DigitsDecoder(RoutingDataDecoder):
    """A configuration is its version in digits."""

    def is_configuration(self, key: str) -> bool:
        return key == 'configuration'

    def decode(self, value: bytes) -> RoutingData:
        if not value.isdigit():
            raise RoutingDataDecodeError('not a number')
        return RoutingData(int(value), ())


def entry(value: bytes, key: str = 'configuration') -> Entry:
    return Entry(key, value)


def test_the_version_never_goes_back() -> None:
    current = CurrentRoutingTable(DigitsDecoder(), ManualClock())
    assert current.version == -1
    current.replace_entries([entry(b'7')], 0)
    current.apply_changes([entry(b'5'), entry(b'9'), entry(b'8')], 0)
    assert current.version == 9
    current.replace_entries([entry(b'4')], 0)
    assert current.version == 9


def test_other_keys_and_malformed_records_change_nothing() -> None:
    current = CurrentRoutingTable(DigitsDecoder(), ManualClock())
    current.apply_changes([entry(b'7'), entry(b'x'), entry(b'9', 'other')], 0)
    current.apply_changes([entry(b'')], 0)
    assert current.version == 7


def test_the_age_counts_from_when_the_read_was_sent() -> None:
    clock = ManualClock()
    current = CurrentRoutingTable(DigitsDecoder(), clock)
    assert current.age == float('inf')
    clock.advance(timedelta(seconds=10))
    current.replace_entries([entry(b'7')], 8)
    assert current.age == 2
    # A read that was sent earlier but answered later doesn't count.
    current.apply_changes([], 7)
    assert current.age == 2


def test_a_malformed_version_does_not_confirm_the_one_in_force() -> None:
    clock = ManualClock()
    current = CurrentRoutingTable(DigitsDecoder(), clock)
    current.replace_entries([entry(b'7')], 0)
    clock.advance(timedelta(seconds=5))
    current.apply_changes([entry(b'x')], 5)
    assert current.age == 5


def test_a_store_that_lost_the_version_in_force_does_not_confirm_it() -> None:
    clock = ManualClock()
    current = CurrentRoutingTable(DigitsDecoder(), clock)
    current.replace_entries([entry(b'7')], 0)
    clock.advance(timedelta(seconds=3))
    current.replace_entries([entry(b'5')], 3)
    current.apply_changes([], 3)
    assert (current.version, current.age) == (7, 3)
    current.apply_changes([entry(b'7')], 3)
    assert current.age == 0


def test_a_store_that_lost_every_version_confirms_none() -> None:
    clock = ManualClock()
    current = CurrentRoutingTable(DigitsDecoder(), clock)
    current.replace_entries([entry(b'7')], 0)
    clock.advance(timedelta(seconds=3))
    current.replace_entries([], 3)
    assert (current.version, current.age) == (7, 3)


def test_a_version_that_only_peers_have_outdates_the_store() -> None:
    clock = ManualClock()
    current = CurrentRoutingTable(DigitsDecoder(), clock)
    current.replace_entries([entry(b'5')], 0)
    current.hear_version(7)
    # A read that was sent before is no proof that the store lost it.
    current.apply_changes([], -1)
    assert not current.is_outdated
    current.apply_changes([], 0)
    assert current.is_outdated
    assert current.age == float('inf')
    current.apply_changes([entry(b'6')], 0)
    assert current.is_outdated
    current.apply_changes([entry(b'7')], 0)
    assert not current.is_outdated
    assert current.age == 0


def test_a_late_read_does_not_outdate_a_settled_history() -> None:
    clock = ManualClock()
    current = CurrentRoutingTable(DigitsDecoder(), clock)
    current.replace_entries([entry(b'5')], 0)
    clock.advance(timedelta(seconds=30))
    current.hear_version(7)
    current.apply_changes([], 30)
    assert not current.is_outdated
