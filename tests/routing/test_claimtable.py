from datetime import UTC, datetime, timedelta

import pytest

from bergamotshed.routing.claimtable import (
    ClaimEntry,
    ClaimTable,
    Entry,
    SettledEntry,
    VoidedEntry,
)

START = datetime(2026, 1, 1, tzinfo=UTC)
HOUR = timedelta(hours=1)
KEY = b'k'


def claim(run: int) -> Entry:
    return ClaimEntry(KEY, run)


def settled(run: int) -> Entry:
    return SettledEntry(KEY, run, 200, b'', 'text/plain')


def void(run: int) -> Entry:
    return VoidedEntry(KEY, run)


FOLDS = [
    pytest.param([claim(1), claim(2)], 1, False, id='first-claim-wins'),
    pytest.param([claim(1), void(1), claim(2)], 2, False, id='void-frees'),
    pytest.param(
        [claim(1), void(2), claim(3)], 1, False, id='void-by-another-run'
    ),
    pytest.param(
        [claim(1), void(1), claim(1)], None, False, id='voided-for-good'
    ),
    pytest.param(
        [claim(1), void(1), claim(2), void(2), claim(1)],
        None,
        False,
        id='voided-long-ago',
    ),
    pytest.param([claim(1), settled(1)], 1, True, id='settled'),
    pytest.param([claim(1), settled(2)], 1, False, id='answer-of-another-run'),
    pytest.param(
        [claim(1), settled(1), void(1)], 1, True, id='void-after-answer'
    ),
    pytest.param(
        [claim(1), claim(2), void(1)], None, False, id='lost-claims-stay-lost'
    ),
    pytest.param([void(1), settled(1)], 0, False, id='end-without-claim'),
]


@pytest.mark.parametrize('together', [True, False])
@pytest.mark.parametrize(('entries', 'run', 'is_settled'), FOLDS)
def test_who_holds_a_key(
    entries: list[Entry], run: int | None, is_settled: bool, together: bool
) -> None:
    table = ClaimTable(HOUR)
    records = [entries] if together else [[entry] for entry in entries]
    for offset, record in enumerate(records):
        table.fold(offset, START, tuple(record))
        table.fold(offset, START, tuple(record))
    holder = table.holder(KEY)
    if holder is None:
        assert run == 0
        return
    assert holder.run == run
    assert (holder.settled is not None) is is_settled


def test_keys_expire_by_the_logs_clock() -> None:
    table = ClaimTable(HOUR)
    for minute in range(100):
        key = str(minute).encode()
        time = START + timedelta(minutes=minute)
        table.fold(minute, time, (ClaimEntry(key, minute),))
    assert len(table) == 61
    assert table.holder(b'38') is None
    assert table.holder(b'39') is not None
    assert table.covers(START + timedelta(minutes=39))
    assert not table.covers(START + timedelta(minutes=38))


GAPS = [
    pytest.param(0, 0, True, id='nothing-dropped'),
    pytest.param(5, -59, True, id='within-the-promised-retention'),
    pytest.param(5, -61, False, id='older-than-the-promised-retention'),
]


@pytest.mark.parametrize(('first', 'minutes', 'covered'), GAPS)
def test_since_when_a_new_readers_table_is_complete(
    first: int, minutes: int, covered: bool
) -> None:
    table = ClaimTable(HOUR)
    table.skip_to(first, START)
    assert table.next_offset == first
    assert table.covers(START + timedelta(minutes=minutes)) is covered


def test_a_log_that_drops_records_too_early_is_detected() -> None:
    table = ClaimTable(HOUR)
    table.fold(0, START, ())
    table.skip_to(9, START + timedelta(minutes=10))
    assert not table.covers(START + timedelta(minutes=9))
    assert table.covers(START + timedelta(minutes=10))
