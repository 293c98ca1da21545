import asyncio
from collections import Counter
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotshed.routing.fairqueue import FairQueue, Ticket

from .support import request

WEIGHTS = st.dictionaries(
    st.sampled_from('abcde'), st.integers(1, 5), min_size=2
)


def ticket(organisation: str, number: int, weight: float) -> Ticket:
    wanted = request(f'{number}', organisation, priority=number % 3)
    answer: asyncio.Future[Any] = asyncio.Future(loop=_LOOP)
    return Ticket('r1', wanted, weight, 0, 60, answer)


_LOOP = asyncio.new_event_loop()


def always(subject: object) -> bool:
    return True


def never(subject: object) -> bool:
    return False


@pytest.mark.parametrize(
    'one_by_one',
    [
        False,
        # Found with slot homes: each vain try between two free slots gave
        # the turn back to the organisation that had just been served.
        True,
    ],
)
@settings(derandomize=True, deadline=None, max_examples=60)
@given(weights=WEIGHTS, served=st.integers(1, 60))
def test_backlogged_organisations_are_served_by_weight(
    one_by_one: bool, weights: dict[str, int], served: int
) -> None:
    queue = FairQueue()
    for name, weight in weights.items():
        for number in range(served):
            queue.push(ticket(name, number, weight))
    taken: Counter[str] = Counter()
    for _ in range(served):
        if one_by_one:
            assert queue.start_next(always, never) is None
        chosen = queue.start_next(always, always)
        assert chosen
        taken[chosen.organisation] += 1
    total = sum(weights.values())
    for name, weight in weights.items():
        quantum = weight / min(weights.values())
        fair = served * weight / total
        assert abs(taken[name] - fair) <= 2 * quantum + len(weights)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    st.lists(st.tuples(st.sampled_from('abc'), st.integers(0, 8)), max_size=30),
    st.sampled_from('abc'),
)
def test_serves_all_it_may_and_nothing_else(
    asked: list[tuple[str, int]], barred: str
) -> None:
    queue = FairQueue()
    pushed = [ticket(name, number, 1) for name, number in asked]
    for waiting in pushed:
        queue.push(waiting)
    taken = []
    while True:
        chosen = queue.start_next(lambda name: name != barred, always)
        if chosen is None:
            break
        taken.append(chosen)
    free = [waiting for waiting in pushed if waiting.organisation != barred]
    assert sorted(map(id, taken)) == sorted(map(id, free))
    assert len(queue) == len(pushed) - len(free)
    for name in 'abc':
        orders = [one.order for one in taken if one.organisation == name]
        assert orders == sorted(orders)
    for waiting in list(queue):
        assert queue.remove(waiting)
        assert not queue.remove(waiting)
    assert len(queue) == 0


def test_requests_that_cannot_start_do_not_hold_up_the_rest() -> None:
    queue = FairQueue()
    blocked = [ticket('a', 0, 1) for _ in range(100)]
    free = ticket('a', 1, 1)
    for waiting in (*blocked, free):
        queue.push(waiting)
    taken = [
        queue.start_next(always, lambda one: one is free) for _ in range(10)
    ]
    assert [one for one in taken if one] == [free]
    assert queue.start_next(always, always) is not None
    assert len(queue) == len(blocked) - 1
