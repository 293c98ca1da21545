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
    queued_request = request(f'{number}', organisation, priority=number % 3)
    answer: asyncio.Future[Any] = asyncio.Future(loop=_LOOP)
    return Ticket('r1', queued_request, weight, 0, 60, answer)


_LOOP = asyncio.new_event_loop()


def always(subject: object) -> bool:
    return True


def never(subject: object) -> bool:
    return False


@pytest.mark.parametrize(
    'has_failed_scans',
    [
        False,
        # A failed scan between two free slots must not give the turn back to
        # the organisation that was served last.
        True,
    ],
)
@settings(derandomize=True, deadline=None, max_examples=60)
@given(weights=WEIGHTS, served=st.integers(1, 60))
def test_backlogged_organisations_are_served_by_weight(
    has_failed_scans: bool, weights: dict[str, int], served: int
) -> None:
    queue = FairQueue()
    for name, weight in weights.items():
        for number in range(served):
            queue.push(ticket(name, number, weight))
    served_counts: Counter[str] = Counter()
    for _ in range(served):
        if has_failed_scans:
            assert queue.start_next(always, never) is None
        chosen = queue.start_next(always, always)
        assert chosen
        served_counts[chosen.organisation] += 1
    total = sum(weights.values())
    for name, weight in weights.items():
        quantum = weight / min(weights.values())
        fair = served * weight / total
        assert abs(served_counts[name] - fair) <= 2 * quantum + len(weights)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    st.lists(st.tuples(st.sampled_from('abc'), st.integers(0, 8)), max_size=30),
    st.sampled_from('abc'),
)
def test_serves_every_eligible_request_and_no_other(
    arrivals: list[tuple[str, int]], barred: str
) -> None:
    queue = FairQueue()
    pushed = [ticket(name, number, 1) for name, number in arrivals]
    for waiting in pushed:
        queue.push(waiting)
    served_tickets = []
    while True:
        chosen = queue.start_next(lambda name: name != barred, always)
        if chosen is None:
            break
        served_tickets.append(chosen)
    free = [waiting for waiting in pushed if waiting.organisation != barred]
    assert sorted(map(id, served_tickets)) == sorted(map(id, free))
    assert len(queue) == len(pushed) - len(free)
    for name in 'abc':
        orders = [
            candidate.order
            for candidate in served_tickets
            if candidate.organisation == name
        ]
        assert orders == sorted(orders)
    for waiting in list(queue):
        assert queue.remove(waiting)
        assert not queue.remove(waiting)
    assert len(queue) == 0


def test_requests_that_cannot_start_do_not_block_the_rest() -> None:
    queue = FairQueue()
    blocked = [ticket('a', 0, 1) for _ in range(100)]
    free = ticket('a', 1, 1)
    for waiting in (*blocked, free):
        queue.push(waiting)
    served_tickets = [
        queue.start_next(always, lambda candidate: candidate is free)
        for _ in range(10)
    ]
    assert [candidate for candidate in served_tickets if candidate] == [free]
    assert queue.start_next(always, always) is not None
    assert len(queue) == len(blocked) - 1
