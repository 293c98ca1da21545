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
from tests.control.modellog import Fault, ModelLog, PausableLog
from tests.virtualtime import VirtualClock, VirtualLoop

T = TypeVar('T')
WINDOW = timedelta(hours=1)
RETENTION = timedelta(hours=2)
ORGANISATION = 'cargas'
ROUTERS = 4


@dataclass
class Cluster:
    """Four routers that share one log, in virtual time.

    :ivar run_counts: how often each key ran
    :ivar violations: broken guarantees
    """

    loop: VirtualLoop = field(default_factory=VirtualLoop)
    run_counts: Counter[str] = field(default_factory=Counter)
    outcome_counts: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        asyncio.set_event_loop(self.loop)
        self.clock = VirtualClock(self.loop)
        self.log = ModelLog(self.clock, RETENTION)
        self.rng = random.Random(5)
        self.tasks: dict[int, list[asyncio.Task[None]]] = {}
        self.log_clients: dict[int, PausableLog] = {}
        self.claims: dict[int, LogClaims] = {}
        for router in range(ROUTERS):
            self.start(router)

    def start(self, router: int) -> None:
        self.log_clients[router] = PausableLog(self.log)
        self.claims[router] = LogClaims(
            self.log_clients[router],
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

    def advance_time(self, seconds: float) -> None:
        self.run(asyncio.sleep(seconds))

    def call(self, router: int, key: str, completion: str = 'settle') -> None:
        task = self.loop.create_task(self._call(router, key, completion))
        self.tasks[router].append(task)

    async def _call(self, router: int, key: str, completion: str) -> None:
        claims, log_client = self.claims[router], self.log_clients[router]
        result = await claims.claim(ORGANISATION, key)
        await log_client.running.wait()
        if isinstance(result, SettledAnswer):
            self._check(result.body == key.encode(), f'{key}: foreign answer')
            self._check(
                self.run_counts[key] == 1, f'{key}: answered, never ran'
            )
        if isinstance(result, Refusal):
            self.outcome_counts[result.reason.value] += 1
            return
        if isinstance(result, SettledAnswer):
            self.outcome_counts['settled'] += 1
            return
        if completion == 'void':
            await claims.void(result)
            return
        self.run_counts[key] += 1
        self._check(self.run_counts[key] == 1, f'{key}: ran twice')
        if completion == 'settle':
            await claims.settle(result, SettledAnswer(200, key.encode()))

    def _check(self, holds: bool, text: str) -> None:
        if not holds:
            self.violations.append(text)

    def close(self) -> None:
        for router in range(ROUTERS):
            self.log_clients[router].running.set()
            self.kill(router)
        self.advance_time(0)
        self.loop.close()
        asyncio.set_event_loop(None)


@contextmanager
def running_cluster() -> Iterator[Cluster]:
    cluster = Cluster()
    try:
        yield cluster
    finally:
        cluster.close()


def uuid7(created_at: float, number: int) -> str:
    milliseconds = int(created_at * 1000)
    bits = milliseconds << 80 | 7 << 76 | 2 << 62 | number
    return str(UUID(int=bits))


def key_now(cluster: Cluster, number: int = 1) -> str:
    return uuid7(cluster.clock.now().timestamp(), number)


def claim(cluster: Cluster, router: int, key: str) -> object:
    return cluster.run(cluster.claims[router].claim(ORGANISATION, key))


def outcome_of(result: object) -> Reason | type:
    return result.reason if isinstance(result, Refusal) else type(result)


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
    with running_cluster() as cluster:
        queue = list(faults)
        cluster.log.fault = lambda: queue.pop(0) if queue else Fault.NONE
        key = key_now(cluster)
        first = claim(cluster, 0, key)
        assert outcome_of(first) is expected
        if isinstance(first, Refusal):
            assert first.retry_after is not None
        cluster.advance_time(60)
        repeat = claim(cluster, 1, key)
        is_taken = winner == 'r0'
        assert outcome_of(repeat) is (Reason.CLAIM_TAKEN if is_taken else Claim)


@pytest.mark.parametrize(
    ('size', 'expected'), [(4096, SettledAnswer), (4097, Reason.CLAIM_TAKEN)]
)
def test_only_small_answers_are_kept(size: int, expected: object) -> None:
    with running_cluster() as cluster:
        key = key_now(cluster)
        claimed = claim(cluster, 0, key)
        assert isinstance(claimed, Claim)
        cluster.run(
            cluster.claims[0].settle(claimed, SettledAnswer(200, b'x' * size))
        )
        cluster.advance_time(1.1)
        assert outcome_of(claim(cluster, 3, key)) is expected
        cluster.log.down = True
        assert outcome_of(claim(cluster, 3, key)) is expected


def test_a_voided_key_can_be_claimed_by_any_router() -> None:
    with running_cluster() as cluster:
        key = key_now(cluster)
        claimed = claim(cluster, 0, key)
        assert isinstance(claimed, Claim)
        cluster.run(cluster.claims[0].void(claimed))
        cluster.advance_time(1)
        assert outcome_of(claim(cluster, 2, key)) is Claim
        assert outcome_of(claim(cluster, 0, key)) is Reason.CLAIM_TAKEN


def test_a_router_resumes_its_own_abandoned_claim() -> None:
    with running_cluster() as cluster:
        key = key_now(cluster)
        append = cluster.log.append

        async def append_then_fail(stream: str, payload: bytes) -> int:
            offset = await append(stream, payload)
            cluster.log.down = True
            return offset

        cluster.log.append = append_then_fail  # type: ignore[method-assign]
        assert outcome_of(claim(cluster, 0, key)) is Reason.CLAIM_UNAVAILABLE
        cluster.log.append = append  # type: ignore[method-assign]
        cluster.log.down = False
        assert outcome_of(claim(cluster, 0, key)) is Claim


AGES = [
    pytest.param(-3590, Claim, id='within-the-window'),
    pytest.param(-3610, Reason.KEY_EXPIRED, id='older-than-the-window'),
    pytest.param(290, Claim, id='clock-ahead'),
    pytest.param(310, Reason.KEY_EXPIRED, id='from-the-future'),
]


@pytest.mark.parametrize(('age', 'expected'), AGES)
def test_a_uuid7_key_is_refused_outside_the_window(
    age: float, expected: object
) -> None:
    with running_cluster() as cluster:
        created_at = cluster.clock.now().timestamp() + age
        assert outcome_of(claim(cluster, 0, uuid7(created_at, 1))) is expected


def test_concurrent_claims_share_a_record() -> None:
    with running_cluster() as cluster:
        for number in range(150):
            cluster.call(0, key_now(cluster, number), 'keep')
        cluster.advance_time(1)
        assert sum(cluster.run_counts.values()) == 150
        assert cluster.log.appends == 2


def test_a_busy_stream_appends_ten_times_a_second_at_most() -> None:
    with running_cluster() as cluster:
        for number in range(800):
            cluster.call(0, key_now(cluster, number))
            cluster.advance_time(0.005)
        cluster.advance_time(2)
        assert sum(cluster.run_counts.values()) == 800
        assert cluster.log.appends <= 2 * 10 * (800 * 0.005 + 2)


def test_most_answers_share_a_record_with_a_claim() -> None:
    with running_cluster() as cluster:
        for number in range(100):
            cluster.call(0, key_now(cluster, number))
            cluster.advance_time(0.3)
        cluster.advance_time(2)
        assert sum(cluster.run_counts.values()) == 100
        assert cluster.log.appends <= 125


def test_ten_thousand_calls_with_repeated_keys_run_at_most_once() -> None:
    calls = 10_000
    rng = random.Random(20261203)
    weights = {Fault.NONE: 90, Fault.LOST_AFTER: 4, Fault.LOST_BEFORE: 2}
    weights |= {Fault.LATE: 2, Fault.REFUSED: 2}
    with running_cluster() as cluster:
        cluster.log.fault = lambda: rng.choices(
            *zip(*weights.items(), strict=True)
        )[0]
        keys = [key_now(cluster, number) for number in range(calls // 3)]
        for number in range(calls):
            key = rng.choice(keys)
            completion = rng.choice(('settle', 'settle', 'keep', 'void'))
            cluster.call(rng.randrange(ROUTERS), key, completion)
            if number % 20 == 0:
                cluster.advance_time(0.05)
            if number % 1000 == 500:
                cluster.log.down = True
                cluster.log_clients[number % 3].running.clear()
            if number % 1000 == 600:
                cluster.log.down = False
                cluster.kill(3)
            if number % 1000 == 800:
                cluster.log_clients[number % 3].running.set()
        for log_client in cluster.log_clients.values():
            log_client.running.set()
        cluster.advance_time(60)
        assert cluster.violations == []
        assert max(cluster.run_counts.values()) == 1
        assert sum(cluster.run_counts.values()) > calls // 6
        assert cluster.outcome_counts['settled'] > 0


ROUTER = st.integers(0, ROUTERS - 1)
COMPLETION = st.sampled_from(('settle', 'keep', 'void'))


class ClaimMachine(RuleBasedStateMachine):
    """Random sequences of calls, faults, pauses, kills and waits.

    No key may run twice, whatever the order.
    """

    @initialize()
    def start_cluster(self) -> None:
        self.cluster = Cluster()
        self.keys: list[str] = []
        self.faults: list[Fault] = []
        self.cluster.log.fault = self._fault

    def _fault(self) -> Fault:
        return self.faults.pop(0) if self.faults else Fault.NONE

    @rule(age=st.sampled_from((0, 0, 0, -3500, 250)))
    def make_key(self, age: float) -> None:
        created_at = self.cluster.clock.now().timestamp() + age
        self.keys.append(uuid7(created_at, len(self.keys)))

    @precondition(lambda self: self.keys)
    @rule(
        data=st.data(),
        routers=st.lists(ROUTER, min_size=1),
        completion=COMPLETION,
    )
    def call(
        self, data: st.DataObject, routers: list[int], completion: str
    ) -> None:
        key = data.draw(st.sampled_from(self.keys))
        for router in routers:
            self.cluster.call(router, key, completion)

    @rule(faults=st.lists(st.sampled_from(Fault), max_size=6))
    def break_appends(self, faults: list[Fault]) -> None:
        self.faults = faults

    @rule(down=st.booleans())
    def set_outage(self, down: bool) -> None:
        self.cluster.log.down = down

    @rule(router=ROUTER)
    def pause(self, router: int) -> None:
        self.cluster.log_clients[router].running.clear()

    @rule(router=ROUTER)
    def resume(self, router: int) -> None:
        self.cluster.log_clients[router].running.set()

    @rule(router=ROUTER)
    def kill(self, router: int) -> None:
        self.cluster.kill(router)

    @rule(seconds=st.sampled_from((0.001, 0.004, 0.006, 0.1, 3, 40, 3000)))
    def wait(self, seconds: float) -> None:
        self.cluster.advance_time(seconds)

    @invariant()
    def no_key_ran_twice(self) -> None:
        if hasattr(self, 'cluster'):
            assert self.cluster.violations == []

    def teardown(self) -> None:
        if hasattr(self, 'cluster'):
            for log_client in self.cluster.log_clients.values():
                log_client.running.set()
            self.cluster.log.down = False
            self.cluster.advance_time(90)
            assert self.cluster.violations == []
            self.cluster.close()


ClaimMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
TestClaimMachine = ClaimMachine.TestCase
