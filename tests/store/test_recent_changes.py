import asyncio
from datetime import timedelta

import pytest

from bergamotshed.store.recent_changes import MAX_ENTRIES, RecentChanges
from bergamotshed.store.types import Changes, Entry

from .positions import at

LONG = timedelta(seconds=20)


def changes(start: int, end: int, era: int | None = None) -> Changes:
    entries = tuple(Entry(f'k{offset}', b'v') for offset in range(start, end))
    return Changes(entries, at(end, era))


def recorded(*ranges: tuple[int, int]) -> RecentChanges:
    recent = RecentChanges()
    for start, end in ranges:
        recent.record(at(start), changes(start, end), read_at=1)
    return recent


@pytest.mark.parametrize(
    ('ranges', 'start', 'expected'),
    [
        ([], 0, None),
        ([(5, 5)], 5, []),
        ([(5, 8)], 5, ['k5', 'k6', 'k7']),
        ([(5, 8)], 7, ['k7']),
        ([(5, 8)], 4, None),
        ([(5, 8)], 9, None),
        ([(5, 8), (8, 9)], 6, ['k6', 'k7', 'k8']),
        ([(5, 8), (20, 22)], 6, None),
        ([(5, 8), (20, 22)], 20, ['k20', 'k21']),
        ([(5, 8), (6, 8)], 6, ['k6', 'k7']),
    ],
)
def test_changes_since_an_offset(
    ranges: list[tuple[int, int]], start: int, expected: list[str] | None
) -> None:
    found = recorded(*ranges).since(at(start))
    keys = None if found is None else [entry.key for entry in found.entries]
    assert keys == expected


def test_only_the_latest_changes_are_kept() -> None:
    recent = recorded((0, MAX_ENTRIES), (MAX_ENTRIES, MAX_ENTRIES + 3))
    assert recent.since(at(2)) is None
    kept = recent.since(at(3))
    assert kept is not None
    assert len(kept.entries) == MAX_ENTRIES


def test_nothing_is_known_while_the_store_cannot_be_read() -> None:
    recent = recorded((5, 8))
    recent.record_failure()
    assert recent.since(at(5)) is None
    recent.record(at(8), changes(8, 8), read_at=2)
    assert recent.since(at(5)) is not None


def test_a_read_that_ends_late_does_not_lower_the_time() -> None:
    recent = RecentChanges()
    recent.record(at(5), changes(5, 5), read_at=7)
    recent.record(at(5), changes(5, 5), read_at=3)
    assert recent.read_at == 7


def test_a_read_that_stops_short_does_not_raise_the_time() -> None:
    recent = RecentChanges()
    part = Changes((Entry('k5', b'v'),), at(6), is_complete=False)
    recent.record(at(5), part, read_at=7)
    assert recent.since(at(5)) is None
    recent.record(at(6), changes(6, 6), read_at=8)
    recent.record(at(6), Changes((), at(6), is_complete=False), read_at=9)
    assert recent.read_at == 8
    assert recent.since(at(5)) is not None


@pytest.mark.parametrize('is_failure', [False, True])
async def test_the_next_read_ends_a_wait(is_failure: bool) -> None:
    recent = recorded((5, 8))
    waiting = asyncio.create_task(recent.wait(LONG))
    await asyncio.sleep(0)
    if is_failure:
        recent.record_failure()
    else:
        recent.record(at(8), changes(8, 9), read_at=2)
    async with asyncio.timeout(5):
        await waiting


def test_offsets_of_another_era_are_unknown() -> None:
    recent = RecentChanges()
    recent.record(at(5, era=1), changes(5, 8, era=1), read_at=1)
    recent.record(at(5, era=2), changes(5, 7, era=2), read_at=2)
    assert recent.since(at(6, era=1)) is None
    found = recent.since(at(5, era=2))
    assert found is not None
    assert found.end == at(7, era=2)


def test_a_return_is_known_before_the_first_read_of_the_new_era() -> None:
    recent = RecentChanges()
    recent.record(at(5, era=1), changes(5, 8, era=1), read_at=1)
    recent.record_return(2)
    assert recent.era == 2
    assert recent.since(at(5, era=1)) is None
    assert recent.since(at(0, era=2)) is None
