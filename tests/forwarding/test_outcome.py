import pytest

from bergamotshed.forwarding.outcome import (
    AttemptOutcome,
    AttemptResult,
    can_retry,
)
from bergamotshed.routes.types import Repeatability

ONCE = Repeatability.ONCE
REPEATABLE = Repeatability.REPEATABLE
RESUMABLE = Repeatability.RESUMABLE


@pytest.mark.parametrize(
    ('outcome', 'repeatability', 'is_started', 'last_event_id', 'expected'),
    [
        (AttemptOutcome.ANSWERED, REPEATABLE, False, None, False),
        (AttemptOutcome.NOT_SENT, ONCE, False, None, True),
        (AttemptOutcome.NOT_RUN, ONCE, False, None, True),
        (AttemptOutcome.MISDIRECTED, ONCE, False, None, True),
        (AttemptOutcome.BROKEN, ONCE, False, None, False),
        (AttemptOutcome.SILENT, ONCE, False, None, False),
        (AttemptOutcome.FAILED, ONCE, False, None, False),
        (AttemptOutcome.BROKEN, REPEATABLE, False, None, True),
        (AttemptOutcome.FAILED, REPEATABLE, False, None, True),
        (AttemptOutcome.BROKEN, REPEATABLE, True, None, False),
        (AttemptOutcome.BROKEN, RESUMABLE, False, None, True),
        (AttemptOutcome.BROKEN, RESUMABLE, True, 3, True),
        (AttemptOutcome.BROKEN, RESUMABLE, True, None, False),
    ],
)
def test_whether_a_request_may_be_retried(
    outcome: AttemptOutcome,
    repeatability: Repeatability,
    is_started: bool,
    last_event_id: int | None,
    expected: bool,
) -> None:
    result = AttemptResult(outcome, is_answer_started=is_started)
    assert can_retry(result, repeatability, last_event_id) is expected
