from datetime import timedelta

from bergamotshed.clock import ManualClock
from bergamotshed.routes.current_table import (
    CurrentRoutingTable,
    RoutingDataDecodeError,
    RoutingDataDecoder,
)
from bergamotshed.routes.types import RoutingData
from bergamotshed.store.types import Entry


class Numbers(RoutingDataDecoder):
    """A configuration is its version in digits."""

    def is_configuration(self, key: str) -> bool:
        return key == 'configuration'

    def decode(self, value: bytes) -> RoutingData:
        if not value.isdigit():
            raise RoutingDataDecodeError('no number')
        return RoutingData(int(value), ())


def entry(value: bytes, key: str = 'configuration') -> Entry:
    return Entry(key, value)


def test_the_version_never_goes_back() -> None:
    holder = CurrentRoutingTable(Numbers(), ManualClock())
    assert holder.version == -1
    holder.replace_entries([entry(b'7')], 0)
    holder.apply_changes([entry(b'5'), entry(b'9'), entry(b'8')], 0)
    assert holder.version == 9
    holder.replace_entries([entry(b'4')], 0)
    assert holder.version == 9


def test_other_keys_and_malformed_records_change_nothing() -> None:
    holder = CurrentRoutingTable(Numbers(), ManualClock())
    holder.apply_changes([entry(b'7'), entry(b'x'), entry(b'9', 'other')], 0)
    holder.apply_changes([entry(b'')], 0)
    assert holder.version == 7


def test_the_age_counts_from_the_sending_of_the_read() -> None:
    clock = ManualClock()
    holder = CurrentRoutingTable(Numbers(), clock)
    assert holder.age == float('inf')
    clock.advance(timedelta(seconds=10))
    holder.replace_entries([entry(b'7')], 8)
    assert holder.age == 2
    # A read that was sent earlier but answered later does not count.
    holder.apply_changes([], 7)
    assert holder.age == 2


def test_a_malformed_version_does_not_confirm_the_one_in_force() -> None:
    clock = ManualClock()
    holder = CurrentRoutingTable(Numbers(), clock)
    holder.replace_entries([entry(b'7')], 0)
    clock.advance(timedelta(seconds=5))
    holder.apply_changes([entry(b'x')], 5)
    assert holder.age == 5
