import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotshed.routing.retry import (
    MAX_BALANCE_RETRIES,
    MAX_DEBT_RETRIES,
    RETRIES_PER_FIRST_ATTEMPT,
    NextStep,
    RetryBudget,
    next_step,
)
from bergamotshed.routing.types import Outcome

# outcome: (next step, next step if at most once)
STEPS = {
    Outcome.DONE: (NextStep.ANSWER, NextStep.ANSWER),
    Outcome.CANCELLED: (NextStep.GIVE_UP, NextStep.GIVE_UP),
    Outcome.REFUSED: (NextStep.TRY_ANOTHER, NextStep.TRY_ANOTHER),
    Outcome.UNREACHABLE: (NextStep.TRY_ANOTHER, NextStep.TRY_ANOTHER),
    Outcome.CUT: (NextStep.TRY_ANOTHER, NextStep.GIVE_UP),
}


@pytest.mark.parametrize('outcome', Outcome)
def test_next_step_for_each_outcome(outcome: Outcome) -> None:
    steps = [
        next_step(outcome, at_most_once=at_most_once)
        for at_most_once in (False, True)
    ]
    assert tuple(steps) == STEPS[outcome]


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(st.sampled_from(['first', 'retry', 'lost']), max_size=400))
def test_retries_stay_within_a_tenth(calls: list[str]) -> None:
    budget = RetryBudget()
    firsts = ordinary = lost = 0
    for call in calls:
        if call == 'first':
            budget.earn('drafting')
            firsts += 1
        elif call == 'retry':
            ordinary += budget.spend('drafting')
        else:
            lost += budget.spend('drafting', can_overdraw=True)
        earned = firsts * RETRIES_PER_FIRST_ATTEMPT + MAX_BALANCE_RETRIES
        assert ordinary <= earned + 1e-6
        assert ordinary + lost <= earned + MAX_DEBT_RETRIES + 1e-6


def test_services_do_not_share_a_budget() -> None:
    budget = RetryBudget()
    while budget.spend('drafting'):
        pass
    assert not budget.spend('drafting')
    assert budget.spend('booking')
