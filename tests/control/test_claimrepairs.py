from collections.abc import Callable
from typing import cast

import pytest
from eliot import MemoryLogger
from eliot.testing import swap_logger

from bergamotshed.clock import ManualClock
from bergamotshed.control import claimrepairs
from bergamotshed.control.claimrepairs import ClaimRepairs, ClaimRun
from bergamotshed.control.claimstream import ClaimStream
from bergamotshed.routing.claimtable import VoidedEntry

NO_STREAM = cast(ClaimStream, None)


def run_of(number: int) -> ClaimRun:
    return ClaimRun(NO_STREAM, b'key', number, is_appended=True)


def abandon(repairs: ClaimRepairs, number: int) -> None:
    repairs.abandon(run_of(number))


def enqueue(repairs: ClaimRepairs, number: int) -> None:
    repairs.enqueue(run_of(number), VoidedEntry(b'key', number))


@pytest.mark.parametrize(
    ('add', 'kind'),
    [(abandon, 'abandoned run'), (enqueue, 'VoidedEntry')],
)
def test_what_exceeds_the_limit_is_logged(
    add: Callable[[ClaimRepairs, int], None],
    kind: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(claimrepairs, 'MAX_PENDING', 2)
    monkeypatch.setattr(ClaimRepairs, '_start', lambda _self: None)
    repairs = ClaimRepairs(ManualClock())
    logger = MemoryLogger()
    former_logger = swap_logger(logger)
    try:
        for number in range(3):
            add(repairs, number)
    finally:
        swap_logger(former_logger)
    dropped = [
        (message['run'], message['kind'], message['limit'])
        for message in logger.messages
        if message['message_type'] == 'claims.repair_dropped'
    ]
    assert repairs.pending == 2
    assert dropped == [(2, kind, 2)]
