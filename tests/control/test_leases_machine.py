"""At most one process holds the lease, wherever processes are suspended."""

import random
from collections.abc import Generator
from datetime import timedelta
from types import coroutine
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bergamotshed.clock import ManualClock
from bergamotshed.control.lease_fold import LEASES_STREAM
from bergamotshed.control.lease_writer import LeaseOptions
from bergamotshed.control.leases import LeaseKeeper
from bergamotshed.engines.types import Order, OrderKind, OrderRefused
from bergamotshed.log.types import LogPage, LogUnavailable

from .fakes import FakeEngine, MemoryLog

KEEPERS = 3
INDEX = st.integers(0, KEEPERS - 1)
OPTIONS = LeaseOptions('control', timedelta(seconds=6), timedelta(seconds=1))
ZERO = timedelta(0)
MAX_STEPS = 12
SUSPEND_POINTS = (
    'between steps',
    'before read',
    'after read',
    'before append',
    'after append',
)


@coroutine
def suspend(point: str) -> Generator[str, None, None]:
    """Suspend the process until the machine advances it again."""
    yield point


class SteppedLog(MemoryLog):
    """Suspends its caller before and after each call takes effect."""

    async def append(self, stream: str, payload: bytes) -> int:
        await suspend('before append')
        try:
            return await super().append(stream, payload)
        finally:
            await suspend('after append')

    async def read(
        self,
        stream: str,
        start: int,
        *,
        limit: int = 500,
        wait: timedelta = ZERO,
    ) -> LogPage:
        await suspend('before read')
        page = await super().read(stream, start, limit=limit)
        await suspend('after read')
        return page


class Process:
    """A router with a lease keeper that is advanced step by step."""

    def __init__(self, log: SteppedLog, index: int, seed: int) -> None:
        name = f'router-{index}'
        rng = random.Random(seed)
        self.keeper = LeaseKeeper(log, OPTIONS, name, log.clock, rng)
        self.running: Any = None
        self.point = 'between steps'

    def advance(self) -> None:
        if self.running is None:
            self.running = self.work()
        try:
            self.point = self.running.send(None)
        except StopIteration:
            self.running = None
            self.point = 'between steps'

    async def work(self) -> None:
        try:
            await self.keeper.step()
        except LogUnavailable:
            return


class LeaseMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.log = SteppedLog(self.clock)
        self.starts = 0
        self.processes = [self.start(index) for index in range(KEEPERS)]
        self.holder: LeaseKeeper | None = None
        self.fence = -1
        self.engine = FakeEngine(fencing=True)

    def start(self, index: int) -> Process:
        self.starts += 1
        return Process(self.log, index, self.starts)

    @rule(index=INDEX, point=st.sampled_from(SUSPEND_POINTS))
    def advance_to(self, index: int, point: str) -> None:
        """Run a process until it is suspended at the given point."""
        for _ in range(MAX_STEPS):
            self.processes[index].advance()
            self.check_holders()
            if self.processes[index].point == point:
                return

    @rule(first=INDEX, second=INDEX)
    def race(self, first: int, second: int) -> None:
        """Two claims supersede the same record; one of them is late."""
        for index in (first, second):
            self.advance_to(index, 'between steps')
        self.wait_for_expiry()
        for index in (first, second):
            self.advance_to(index, 'before append')
        for index in (first, second):
            self.advance_to(index, 'between steps')

    @rule(steps=st.integers(1, 8))
    def advance_all(self, steps: int) -> None:
        for _ in range(steps):
            for process in self.processes:
                process.advance()
                self.check_holders()

    @rule(tenths=st.integers(1, 30))
    def wait(self, tenths: int) -> None:
        self.clock.advance(timedelta(milliseconds=100 * tenths))

    @rule()
    def wait_for_expiry(self) -> None:
        self.clock.advance(OPTIONS.ttl + 2 * OPTIONS.margin)

    @rule(index=INDEX)
    def replace_vm(self, index: int) -> None:
        self.processes[index] = self.start(index)

    @rule(down=st.booleans())
    def outage(self, down: bool) -> None:
        self.log.down = down

    @rule(count=st.integers(1, 3))
    def lose_answers(self, count: int) -> None:
        self.log.lose_answers = count

    @rule(keep=st.integers(0, 2))
    def forget(self, keep: int) -> None:
        # Retention is far longer than a lease and its margin.
        self.clock.advance(OPTIONS.ttl + OPTIONS.margin)
        self.log.forget(
            LEASES_STREAM, max(0, self.log.next(LEASES_STREAM) - keep)
        )

    @rule(index=INDEX)
    def order(self, index: int) -> None:
        """A process sends an order with the last fencing token it won."""
        keeper = self.processes[index].keeper
        order = Order(OrderKind.LOAD, keeper.fence, 'm', 'v1')
        newest = self.engine.fence
        try:
            self.engine.execute_order(order)
        except OrderRefused as error:
            assert error.fence == newest > keeper.fence
            return
        assert keeper.fence >= newest

    @invariant()
    def check_holders(self) -> None:
        holders = [
            process.keeper
            for process in self.processes
            if process.keeper.remaining() > ZERO
        ]
        assert len(holders) <= 1
        for keeper in holders:
            if keeper is not self.holder:
                assert keeper.fence > self.fence
            assert keeper.fence >= self.fence
            self.holder = keeper
            self.fence = keeper.fence


LeaseMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=50, deadline=None, derandomize=True
)
TestLeases = LeaseMachine.TestCase


def test_a_lease_is_won_again_after_all_processes_were_replaced() -> None:
    machine = LeaseMachine()
    for _ in range(5):
        machine.processes = [machine.start(index) for index in range(KEEPERS)]
        machine.wait_for_expiry()
        machine.advance_all(20)
        machine.wait_for_expiry()
        machine.advance_all(20)
        assert any(
            process.keeper.remaining() > ZERO for process in machine.processes
        )
