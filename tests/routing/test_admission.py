import asyncio
import heapq
import random
from collections import defaultdict
from datetime import timedelta
from statistics import fmean

import pytest

from bergamotshed.clock import ManualClock
from bergamotshed.reasons import Reason, Refusal
from bergamotshed.routing import Outcome, Placement
from bergamotshed.routing.admission import Admission, DrainRate
from bergamotshed.routing.fairqueue import Ticket
from bergamotshed.routing.fairshare import fair_level

from .support import SEED, HomeBench, request

ENGINES = 3
SLOTS = 8
SERVICE_S = 2.0
SURGE_FACTOR = 5
MAX_WAIT_RATIO = 1.5


@pytest.mark.parametrize(
    ('demands', 'weights', 'slots', 'level'),
    [
        ({'a': 3, 'b': 4}, {}, 10, float('inf')),
        ({'a': 3, 'b': 20}, {}, 10, 7),
        ({'a': 20, 'b': 20}, {'a': 3, 'b': 1}, 12, 3),
        ({'a': 1, 'b': 9, 'c': 9}, {}, 9, 4),
        ({}, {}, 9, float('inf')),
    ],
)
def test_fair_level(
    demands: dict[str, int],
    weights: dict[str, float],
    slots: int,
    level: float,
) -> None:
    assert fair_level(demands, weights, slots) == level


@pytest.mark.parametrize(
    ('waiting', 'organisation', 'free', 'expected'),
    [
        (0, 'north', 3, True),
        (10, 'north', 3, False),
        (10, 'north', 6, False),
        (10, 'north', 7, True),
        (10, 'south', 1, True),
        (10, 'south', 0, False),
        (10, 'newcomer', 1, True),
    ],
)
async def test_organisation_above_its_share_must_leave_a_reserve(
    waiting: int, organisation: str, free: int, expected: bool
) -> None:
    bench = HomeBench()
    admission = Admission(bench.clock, random.Random(SEED))
    for name, count in (('north', 12), ('south', 9)):
        for _ in range(count):
            admission.record_start(name)
    bench.clock.advance(timedelta(minutes=2))
    for number in range(waiting):
        placement_request = request(f'{number}')
        answer = asyncio.get_running_loop().create_future()
        ticket = Ticket('r1', placement_request, 1, 120, 180, answer)
        assert admission.enqueue(ticket, 99) is None
    shares = {'north': 1.0, 'south': 1.0}
    assert admission.can_start(organisation, shares, 24, free) is expected


def test_drain_rate_follows_finished_requests() -> None:
    clock = ManualClock()
    rate = DrainRate(clock)
    assert rate.per_second() == 0
    for _ in range(200):
        clock.advance(timedelta(seconds=0.1))
        rate.count()
    assert rate.per_second() == pytest.approx(10, rel=0.1)
    clock.advance(timedelta(seconds=60))
    assert rate.per_second() < 0.1


async def fill(bench: HomeBench, count: int) -> None:
    for number in range(count):
        await bench.home.place('r1', request(f'{number}'))


async def test_full_queue_refuses_the_last_of_the_longest_backlog() -> None:
    bench = HomeBench(engines=1, slots=2, queue=3)
    await fill(bench, 2)
    waiting = [
        asyncio.create_task(bench.home.place('r1', request(f'w{n}')))
        for n in range(3)
    ]
    await asyncio.sleep(0)
    refused = await bench.home.place('r1', request('w3'))
    assert isinstance(refused, Refusal)
    assert refused.reason is Reason.QUEUE_FULL
    assert refused.retry_after
    other = asyncio.create_task(bench.home.place('r1', request('x', 'south')))
    displaced = await waiting[-1]
    assert isinstance(displaced, Refusal)
    assert displaced.reason is Reason.QUEUE_FULL
    assert bench.home.state().waiting == {'north': 2, 'south': 1}
    for task in (*waiting, other):
        task.cancel()


async def test_request_that_cannot_meet_its_deadline_is_refused() -> None:
    bench = HomeBench(engines=1, slots=1)
    for number in range(5):
        placement_request = request(f'{number}')
        placed = await bench.home.place('r1', placement_request)
        assert isinstance(placed, Placement)
        bench.clock.advance(timedelta(seconds=2))
        bench.home.release(
            'r1', placed.grant, placement_request.chat, Outcome.DONE, 0, 'e0'
        )
    await fill(bench, 1)
    hasty = request('hasty', deadline=timedelta(seconds=1))
    refused = await bench.home.place('r1', hasty)
    assert isinstance(refused, Refusal)
    assert refused.reason is Reason.OVERLOADED
    assert refused.retry_after is not None
    assert refused.retry_after > timedelta(seconds=1)


async def test_waiting_request_is_refused_at_its_deadline() -> None:
    bench = HomeBench(engines=1, slots=1)
    await fill(bench, 1)
    waiting = asyncio.create_task(
        bench.home.place('r1', request('w', deadline=timedelta(seconds=5)))
    )
    await asyncio.sleep(0)
    bench.clock.advance(timedelta(seconds=6))
    bench.home.refresh()
    refused = await waiting
    assert isinstance(refused, Refusal)
    assert refused.reason is Reason.DEADLINE


async def test_urgent_request_of_an_organisation_goes_first() -> None:
    bench = HomeBench(engines=1, slots=1)
    first = await bench.home.place('r1', request('first'))
    assert isinstance(first, Placement)
    order: list[int] = []

    async def wait(priority: int) -> None:
        placement_request = request(f'p{priority}', priority=priority)
        placed = await bench.home.place('r1', placement_request)
        assert isinstance(placed, Placement)
        order.append(priority)
        bench.home.release('r1', placed.grant, 1, Outcome.DONE, 0, 'e0')

    tasks = [asyncio.create_task(wait(priority)) for priority in (9, 0, 5)]
    await asyncio.sleep(0)
    bench.home.release('r1', first.grant, 1, Outcome.DONE, 0, 'e0')
    await asyncio.gather(*tasks)
    assert order == [0, 5, 9]


class Arrivals:
    """Open-loop arrivals of five organisations at one home.

    :ivar fair: each stream is an organisation; otherwise all are the first
    """

    def __init__(self, *, fair: bool) -> None:
        self.names = [f'org-{n}' for n in range(5)]
        self.fair = fair
        shares = dict.fromkeys(self.names if fair else self.names[:1], 1.0)
        self.bench = HomeBench(ENGINES, shares, slots=SLOTS, queue=200)
        self.rng = random.Random(SEED)
        self.waits: dict[str, list[float]] = defaultdict(list)
        self.finishes: list[tuple[float, int, int, str]] = []
        self.tasks: list[asyncio.Task[None]] = []

    async def mean_wait_of_others(self, surge: float, seconds: float) -> float:
        """Return the mean wait of all organisations but the last.

        :param surge: factor by which the last one's load exceeds the others'
        """
        rate = 0.18 * ENGINES * SLOTS / SERVICE_S
        arrivals = [
            (self.rng.uniform(0, seconds), name)
            for name in self.names
            for _ in range(
                int(rate * seconds * (surge if name == 'org-4' else 1))
            )
        ]
        for number, (time, name) in enumerate(sorted(arrivals)):
            await self.finish_until(time)
            self.advance(time)
            call = self.place(name, number)
            self.tasks.append(asyncio.create_task(call))
            await asyncio.sleep(0)
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        others = self.names[:-1]
        return fmean(wait for name in others for wait in self.waits[name])

    def advance(self, time: float) -> None:
        remaining = time - self.bench.clock.monotonic()
        self.bench.clock.advance(timedelta(seconds=max(0, remaining)))

    async def finish_until(self, time: float) -> None:
        while self.finishes and self.finishes[0][0] <= time:
            end, grant, chat, upstream = heapq.heappop(self.finishes)
            self.advance(end)
            self.bench.home.release(
                'r1', grant, chat, Outcome.DONE, 0, upstream
            )
            for _ in range(3):
                await asyncio.sleep(0)

    async def place(self, name: str, number: int) -> None:
        clock = self.bench.clock
        start = clock.monotonic()
        placement_request = request(f'{number}', name if self.fair else 'org-0')
        placed = await self.bench.home.place('r1', placement_request)
        self.waits[name].append(clock.monotonic() - start)
        if isinstance(placed, Placement):
            end = clock.monotonic() + self.rng.expovariate(1 / SERVICE_S)
            upstream = placed.upstream.name
            entry = (end, placed.grant, placement_request.chat, upstream)
            heapq.heappush(self.finishes, entry)


@pytest.mark.parametrize(('fair', 'is_bounded'), [(True, True), (False, False)])
async def test_surge_leaves_the_wait_of_others(
    fair: bool, is_bounded: bool
) -> None:
    quiet = await Arrivals(fair=fair).mean_wait_of_others(1, 120)
    surging = await Arrivals(fair=fair).mean_wait_of_others(
        SURGE_FACTOR * 5, 120
    )
    assert (surging <= MAX_WAIT_RATIO * quiet) is is_bounded, (quiet, surging)
