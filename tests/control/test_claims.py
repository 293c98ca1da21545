import asyncio
import random
from collections import Counter
from collections.abc import Coroutine, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, TypeVar
from uuid import UUID

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from bergamotshed.control.claims import LogClaims
from bergamotshed.control.types import Claim, SettledAnswer
from bergamotshed.reasons import Reason, Refusal
from tests.control.modellog import Fault, ModelLog, Paused
from tests.virtualtime import VirtualClock, VirtualLoop

T = TypeVar('T')
WINDOW = timedelta(hours=1)
RETENTION = timedelta(hours=2)
ORGANISATION = 'cargas'
ROUTERS = 4


@dataclass
class World:
    """Four routers before one log, in virtual time."""

    loop: VirtualLoop = field(default_factory=VirtualLoop)
    ran: Counter[str] = field(default_factory=Counter)
    answers: Counter[str] = field(default_factory=Counter)
    broken: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        asyncio.set_event_loop(self.loop)
        self.clock = VirtualClock(self.loop)
        self.log = ModelLog(self.clock, RETENTION)
        self.rng = random.Random(5)
        self.tasks: dict[int, list[asyncio.Task[None]]] = {}
        self.gates: dict[int, Paused] = {}
        self.claims: dict[int, LogClaims] = {}
        for router in range(ROUTERS):
            self.start(router)

    def start(self, router: int) -> None:
        self.gates[router] = Paused(self.log)
        self.claims[router] = LogClaims(
            self.gates[router],
            f'r{router}',
            self.clock,
            WINDOW,
            partitions=2,
            number=lambda: self.rng.getrandbits(63),
        )
        self.tasks[router] = []

    def kill(self, router: int) -> None:
        claims = self.claims[router]
        for stream in claims._streams.values():
            stream.close()
        repairing = claims._repairs._task
        if repairing is not None:
            repairing.cancel()
        for task in self.tasks[router]:
            task.cancel()
        self.start(router)

    def run(self, work: Coroutine[Any, Any, T]) -> T:
        return self.loop.run_until_complete(work)

    def spend(self, seconds: float) -> None:
        self.run(asyncio.sleep(seconds))

    def call(self, router: int, key: str, ending: str = 'settle') -> None:
        task = self.loop.create_task(self._call(router, key, ending))
        self.tasks[router].append(task)

    async def _call(self, router: int, key: str, ending: str) -> None:
        claims, gate = self.claims[router], self.gates[router]
        got = await claims.claim(ORGANISATION, key)
        await gate.running.wait()
        if isinstance(got, SettledAnswer):
            self._check(got.body == key.encode(), f'{key}: foreign answer')
            self._check(self.ran[key] == 1, f'{key}: answered, never ran')
        if isinstance(got, Refusal):
            self.answers[got.reason.value] += 1
            return
        if isinstance(got, SettledAnswer):
            self.answers['settled'] += 1
            return
        if ending == 'void':
            await claims.void(got)
            return
        self.ran[key] += 1
        self._check(self.ran[key] == 1, f'{key}: ran twice')
        if ending == 'settle':
            await claims.settle(got, SettledAnswer(200, key.encode()))

    def _check(self, holds: bool, text: str) -> None:
        if not holds:
            self.broken.append(text)

    def close(self) -> None:
        for router in range(ROUTERS):
            self.gates[router].running.set()
            self.kill(router)
        self.spend(0)
        self.loop.close()
        asyncio.set_event_loop(None)


@contextmanager
def world() -> Iterator[World]:
    made = World()
    try:
        yield made
    finally:
        made.close()


def uuid7(made_at: float, number: int) -> str:
    milliseconds = int(made_at * 1000)
    bits = milliseconds << 80 | 7 << 76 | 2 << 62 | number
    return str(UUID(int=bits))


def key_now(here: World, number: int = 1) -> str:
    return uuid7(here.clock.now().timestamp(), number)


def claim(here: World, router: int, key: str) -> object:
    return here.run(here.claims[router].claim(ORGANISATION, key))


def reason(got: object) -> Reason | type:
    return got.reason if isinstance(got, Refusal) else type(got)


FAULTS = [
    pytest.param([Fault.NONE], Claim, 'r0', id='no-fault'),
    pytest.param([Fault.LOST_AFTER], Claim, 'r0', id='answer-lost'),
    pytest.param([Fault.LOST_BEFORE], Claim, 'r0', id='append-lost'),
    pytest.param([Fault.LATE], Claim, 'r0', id='applied-late'),
    pytest.param(
        [Fault.LOST_BEFORE] * 3,
        Reason.CLAIM_UNAVAILABLE,
        'none',
        id='append-lost-always',
    ),
    pytest.param(
        [Fault.LATE] * 3, Reason.CLAIM_UNAVAILABLE, 'none', id='late-always'
    ),
    pytest.param(
        [Fault.REFUSED], Reason.CLAIM_UNAVAILABLE, 'none', id='outage'
    ),
]


@pytest.mark.parametrize(('faults', 'expected', 'winner'), FAULTS)
def test_a_claim_under_a_fault(
    faults: list[Fault], expected: object, winner: str
) -> None:
    with world() as here:
        queue = list(faults)
        here.log.fault = lambda: queue.pop(0) if queue else Fault.NONE
        key = key_now(here)
        first = claim(here, 0, key)
        assert reason(first) is expected
        if isinstance(first, Refusal):
            assert first.retry_after is not None
        here.spend(60)
        again = claim(here, 1, key)
        taken = winner == 'r0'
        assert reason(again) is (Reason.CLAIM_TAKEN if taken else Claim)


@pytest.mark.parametrize(
    ('size', 'expected'), [(4096, SettledAnswer), (4097, Reason.CLAIM_TAKEN)]
)
def test_only_small_answers_are_kept(size: int, expected: object) -> None:
    with world() as here:
        key = key_now(here)
        won = claim(here, 0, key)
        assert isinstance(won, Claim)
        here.run(here.claims[0].settle(won, SettledAnswer(200, b'x' * size)))
        here.spend(1.1)
        assert reason(claim(here, 3, key)) is expected
        here.log.down = True
        assert reason(claim(here, 3, key)) is expected


def test_a_voided_key_can_be_claimed_again_by_anybody() -> None:
    with world() as here:
        key = key_now(here)
        won = claim(here, 0, key)
        assert isinstance(won, Claim)
        here.run(here.claims[0].void(won))
        here.spend(1)
        assert reason(claim(here, 2, key)) is Claim
        assert reason(claim(here, 0, key)) is Reason.CLAIM_TAKEN


def test_the_same_router_takes_up_what_it_abandoned() -> None:
    with world() as here:
        key = key_now(here)
        append = here.log.append

        async def append_then_fail(stream: str, payload: bytes) -> int:
            offset = await append(stream, payload)
            here.log.down = True
            return offset

        here.log.append = append_then_fail  # type: ignore[method-assign]
        assert reason(claim(here, 0, key)) is Reason.CLAIM_UNAVAILABLE
        here.log.append = append  # type: ignore[method-assign]
        here.log.down = False
        assert reason(claim(here, 0, key)) is Claim


AGES = [
    pytest.param(-3590, Claim, id='within-the-window'),
    pytest.param(-3610, Reason.KEY_EXPIRED, id='older-than-the-window'),
    pytest.param(290, Claim, id='clock-ahead'),
    pytest.param(310, Reason.KEY_EXPIRED, id='from-the-future'),
]


@pytest.mark.parametrize(('age', 'expected'), AGES)
def test_a_key_with_a_time_is_refused_outside_the_window(
    age: float, expected: object
) -> None:
    with world() as here:
        made = here.clock.now().timestamp() + age
        assert reason(claim(here, 0, uuid7(made, 1))) is expected


def test_claims_of_one_moment_share_a_record() -> None:
    with world() as here:
        for number in range(150):
            here.call(0, key_now(here, number), 'keep')
        here.spend(1)
        assert sum(here.ran.values()) == 150
        assert here.log.appends == 2


def test_a_busy_stream_appends_ten_times_a_second_at_most() -> None:
    with world() as here:
        for number in range(800):
            here.call(0, key_now(here, number))
            here.spend(0.005)
        here.spend(2)
        assert sum(here.ran.values()) == 800
        assert here.log.appends <= 2 * 10 * (800 * 0.005 + 2)


def test_three_of_four_answers_travel_with_claims() -> None:
    with world() as here:
        for number in range(100):
            here.call(0, key_now(here, number))
            here.spend(0.3)
        here.spend(2)
        assert sum(here.ran.values()) == 100
        assert here.log.appends <= 125


def test_ten_thousand_marked_calls_repeated_anywhere_run_once_each() -> None:
    calls = 10_000
    rng = random.Random(20261203)
    weights = {Fault.NONE: 90, Fault.LOST_AFTER: 4, Fault.LOST_BEFORE: 2}
    weights |= {Fault.LATE: 2, Fault.REFUSED: 2}
    with world() as here:
        here.log.fault = lambda: rng.choices(
            *zip(*weights.items(), strict=True)
        )[0]
        keys = [key_now(here, number) for number in range(calls // 3)]
        for number in range(calls):
            key = rng.choice(keys)
            ending = rng.choice(('settle', 'settle', 'keep', 'void'))
            here.call(rng.randrange(ROUTERS), key, ending)
            if number % 20 == 0:
                here.spend(0.05)
            if number % 1000 == 500:
                here.log.down = True
                here.gates[number % 3].running.clear()
            if number % 1000 == 600:
                here.log.down = False
                here.kill(3)
            if number % 1000 == 800:
                here.gates[number % 3].running.set()
        for gate in here.gates.values():
            gate.running.set()
        here.spend(60)
        assert here.broken == []
        assert max(here.ran.values()) == 1
        assert sum(here.ran.values()) > calls // 6
        assert here.answers['settled'] > 0


ROUTER = st.integers(0, ROUTERS - 1)
ENDING = st.sampled_from(('settle', 'keep', 'void'))


class ClaimMachine(RuleBasedStateMachine):
    """Any mix of faults, pauses, restarts and time."""

    @initialize()
    def begin(self) -> None:
        self.here = World()
        self.keys: list[str] = []
        self.faults: list[Fault] = []
        self.here.log.fault = self._fault

    def _fault(self) -> Fault:
        return self.faults.pop(0) if self.faults else Fault.NONE

    @rule(age=st.sampled_from((0, 0, 0, -3500, 250)))
    def make_key(self, age: float) -> None:
        made = self.here.clock.now().timestamp() + age
        self.keys.append(uuid7(made, len(self.keys)))

    @precondition(lambda self: self.keys)
    @rule(data=st.data(), routers=st.lists(ROUTER, min_size=1), ending=ENDING)
    def call(
        self, data: st.DataObject, routers: list[int], ending: str
    ) -> None:
        key = data.draw(st.sampled_from(self.keys))
        for router in routers:
            self.here.call(router, key, ending)

    @rule(faults=st.lists(st.sampled_from(Fault), max_size=6))
    def break_appends(self, faults: list[Fault]) -> None:
        self.faults = faults

    @rule(down=st.booleans())
    def outage(self, down: bool) -> None:
        self.here.log.down = down

    @rule(router=ROUTER)
    def pause(self, router: int) -> None:
        self.here.gates[router].running.clear()

    @rule(router=ROUTER)
    def wake(self, router: int) -> None:
        self.here.gates[router].running.set()

    @rule(router=ROUTER)
    def kill(self, router: int) -> None:
        self.here.kill(router)

    @rule(seconds=st.sampled_from((0.001, 0.004, 0.006, 0.1, 3, 40, 3000)))
    def wait(self, seconds: float) -> None:
        self.here.spend(seconds)

    @invariant()
    def no_key_ran_twice(self) -> None:
        if hasattr(self, 'here'):
            assert self.here.broken == []

    def teardown(self) -> None:
        if hasattr(self, 'here'):
            for gate in self.here.gates.values():
                gate.running.set()
            self.here.log.down = False
            self.here.spend(90)
            assert self.here.broken == []
            self.here.close()


ClaimMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
TestClaimMachine = ClaimMachine.TestCase
