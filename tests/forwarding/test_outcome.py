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
    ('ending', 'repeatability', 'begun', 'after', 'expected'),
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
def test_what_may_be_sent_again(
    ending: AttemptOutcome,
    repeatability: Repeatability,
    begun: bool,
    after: int | None,
    expected: bool,
) -> None:
    attempted = AttemptResult(ending, is_answer_started=begun)
    assert can_retry(attempted, repeatability, after) is expected
