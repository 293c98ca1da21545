from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bergamotshed.clock import ManualClock
from bergamotshed.routing.fleet_retry_budget import (
    FleetRetryBudget,
    FleetRetryBudgetOptions,
)

WINDOW = timedelta(seconds=10)
OPTIONS = FleetRetryBudgetOptions(0.2, 58, WINDOW)


def spend_all(budget: FleetRetryBudget) -> int:
    spent = 0
    while budget.spend('s'):
        spent += 1
    return spent


@pytest.mark.parametrize('routers', [1, 4, 9])
def test_all_routers_together_stay_within_the_budget(routers: int) -> None:
    clock = ManualClock()
    budgets = [
        FleetRetryBudget(lambda: OPTIONS, lambda: routers, clock)
        for _ in range(routers)
    ]
    clock.advance(2 * WINDOW)
    for budget in budgets:
        for _ in range(100):
            budget.record_request('s')
    spent = sum(map(spend_all, budgets))
    assert 0 < spent <= 0.2 * 100 * routers + 58


def test_a_router_that_restarts_in_a_window_does_not_spend_twice() -> None:
    clock = ManualClock()
    before = FleetRetryBudget(lambda: OPTIONS, lambda: 4, clock)
    spent = spend_all(before)
    clock.advance(timedelta(seconds=2))
    spent += spend_all(FleetRetryBudget(lambda: OPTIONS, lambda: 4, clock))
    assert spent <= 58 / 4


@given(st.lists(st.tuples(st.floats(0, 3), st.booleans()), max_size=200))
def test_no_window_holds_more_than_allowed(
    steps: list[tuple[float, bool]],
) -> None:
    clock = ManualClock()
    budget = FleetRetryBudget(lambda: OPTIONS, lambda: 4, clock)
    retries: list[float] = []
    requests: list[float] = []
    for pause, is_retry in steps:
        clock.advance(timedelta(seconds=pause))
        now = clock.boottime()
        if is_retry and budget.spend('s'):
            retries.append(now)
        elif not is_retry:
            budget.record_request('s')
            requests.append(now)
        recent = [at for at in retries if at > now - 10]
        counted = [at for at in requests if at >= now - 20]
        assert len(recent) <= 0.2 * len(counted) + 58 / 4
