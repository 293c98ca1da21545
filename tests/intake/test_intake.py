from datetime import timedelta

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    rule,
)

from bergamotshed.clock import ManualClock
from bergamotshed.intake.intake import (
    CONNECTION_COST_BYTES,
    PROGRESS_BYTES,
    Account,
    Intake,
    Phase,
)
from bergamotshed.intake.limits import IntakeLimits, derive_limits

MEGABYTE = 1_048_576
LONG = timedelta(seconds=2)


class Clients:
    """Opens connections and records which of them gave way."""

    def __init__(self, memory_bytes: int, connections: int) -> None:
        self.clock = ManualClock()
        self.intake = Intake(
            IntakeLimits(memory_bytes, connections), self.clock
        )
        self.gone: list[str] = []

    def open(self, name: str) -> Account:
        account = self.intake.open(lambda: self.gone.append(name))
        assert account is not None
        return account


def test_a_connection_at_a_standstill_gives_way_to_a_new_one() -> None:
    clients = Clients(MEGABYTE, 2)
    idle = clients.open('idle')
    clients.intake.enter(idle, Phase.IDLE)
    clients.open('reading')
    assert clients.intake.open(lambda: None) is None
    clients.clock.advance(LONG)
    clients.open('new')
    assert clients.gone == ['reading']
    clients.open('another')
    assert clients.gone == ['reading', 'idle']


def test_a_running_request_never_gives_way() -> None:
    clients = Clients(MEGABYTE, 1)
    clients.intake.enter(clients.open('running'), Phase.RUNNING)
    clients.clock.advance(LONG)
    assert clients.intake.open(lambda: None) is None
    assert not clients.gone


def test_slow_bytes_are_no_progress() -> None:
    clients = Clients(2 * MEGABYTE, 10)
    slow = clients.open('slow')
    assert clients.intake.reserve(slow, MEGABYTE)
    clients.clock.advance(LONG)
    clients.intake.record_bytes(slow, 1)
    assert clients.intake.reserve(clients.open('new'), MEGABYTE)
    assert clients.gone == ['slow']


def test_a_request_that_arrives_does_not_give_way() -> None:
    clients = Clients(2 * MEGABYTE, 10)
    sending = clients.open('sending')
    assert clients.intake.reserve(sending, MEGABYTE)
    clients.clock.advance(LONG)
    clients.intake.record_bytes(sending, PROGRESS_BYTES)
    assert not clients.intake.reserve(clients.open('new'), MEGABYTE)
    assert not clients.gone


def test_large_requests_leave_memory_for_small_ones() -> None:
    clients = Clients(MEGABYTE, 10)
    large = clients.open('large')
    while clients.intake.reserve(large, 65_536):
        pass
    assert clients.intake.reserve(clients.open('small'), 65_536)


def test_a_large_request_closes_no_idle_connections() -> None:
    clients = Clients(MEGABYTE, 100)
    for number in range(10):
        idle = clients.open(str(number))
        clients.intake.enter(idle, Phase.IDLE)
    clients.clock.advance(LONG)
    assert not clients.intake.reserve(clients.open('large'), MEGABYTE)
    assert not clients.gone


@pytest.mark.parametrize(
    ('memory_mb', 'descriptors', 'client_mb', 'connections'),
    [(430, 6150, 310, 3966), (820, 12_300, 700, 8066), (64, 256, 16, 128)],
)
def test_clients_get_a_part_of_the_machine(
    memory_mb: int, descriptors: int, client_mb: int, connections: int
) -> None:
    limits = derive_limits(memory_mb * MEGABYTE, descriptors)
    assert limits.memory_bytes == client_mb * MEGABYTE
    assert limits.connections == connections


class IntakeMachine(RuleBasedStateMachine):
    """No order of events loses memory or exceeds a limit."""

    accounts = Bundle('accounts')

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.limits = IntakeLimits(20 * CONNECTION_COST_BYTES, 6)
        self.intake = Intake(self.limits, self.clock)
        self.open_accounts: dict[int, Account] = {}
        self.number = 0

    @rule(target=accounts)
    def open(self) -> int:
        self.number += 1
        number = self.number
        account = self.intake.open(lambda: self.give_way(number))
        if account is not None:
            self.open_accounts[number] = account
        return number

    def give_way(self, number: int) -> None:
        account = self.open_accounts.pop(number)
        assert account.phase is not Phase.RUNNING

    @rule(
        number=accounts,
        size=st.integers(0, 12 * CONNECTION_COST_BYTES),
    )
    def reserve(self, number: int, size: int) -> None:
        account = self.open_accounts.get(number)
        if account is not None and self.intake.reserve(account, size):
            assert number in self.open_accounts

    @rule(number=accounts, share=st.floats(0, 1))
    def release(self, number: int, share: float) -> None:
        account = self.open_accounts.get(number)
        if account is not None:
            spare = account.held_bytes - CONNECTION_COST_BYTES
            self.intake.release(account, int(spare * share))

    @rule(number=accounts, phase=st.sampled_from(Phase))
    def enter(self, number: int, phase: Phase) -> None:
        account = self.open_accounts.get(number)
        if account is not None:
            self.intake.enter(account, phase)

    @rule(number=accounts, size=st.integers(1, 2 * PROGRESS_BYTES))
    def receive(self, number: int, size: int) -> None:
        account = self.open_accounts.get(number)
        if account is not None:
            self.intake.record_bytes(account, size)

    @rule(milliseconds=st.integers(1, 1500))
    def wait(self, milliseconds: int) -> None:
        self.clock.advance(timedelta(milliseconds=milliseconds))

    @rule(number=consumes(accounts))
    def close(self, number: int) -> None:
        account = self.open_accounts.pop(number, None)
        if account is not None:
            self.intake.close(account)

    @invariant()
    def all_memory_is_counted(self) -> None:
        held = sum(each.held_bytes for each in self.open_accounts.values())
        assert self.intake.held_bytes == held
        assert held <= self.limits.memory_bytes
        assert self.intake.connections == len(self.open_accounts)
        assert self.intake.connections <= self.limits.connections


IntakeMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None
)
TestIntakeMachine = IntakeMachine.TestCase
