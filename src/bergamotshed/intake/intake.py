"""
bergamotshed.intake.intake
~~~~~~~~~~~~~~~~~~~~~~~~~~

The account of what the clients of a process cost. A limit for each connection
bounds no crowd, so all connections share one account of memory, and those that
stand still give way when it is used up.
"""

__all__ = (
    'CONNECTION_COST_BYTES',
    'Account',
    'GiveWay',
    'Intake',
    'IntakeState',
    'Phase',
)

import enum
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Self

from eliot import log_message

from ..clock import Clock
from .limits import IntakeLimits, machine_limits
from .pacing import Pacer

#: Memory of an open connection: its transport, parser, task and the buffer of
#: a piece that was just read.
CONNECTION_COST_BYTES = 24_576
#: A connection without progress for this long gives way to others.
STANDSTILL_S = 1.0
#: Bytes of a request that count as progress.
PROGRESS_BYTES = 4096
#: Memory of one connection up to which it may use all of the account; beyond
#: that some is left for others.
SMALL_BYTES = 131_072
LARGE_SHARE = 0.9375
#: Least time between two log lines with the same reason.
LOG_INTERVAL_S = 1.0

#: Ends a connection, or the request that it sends, without an answer of an
#: upstream; the request has not run.
GiveWay = Callable[[], None]


class Phase(enum.Enum):
    """What a connection is doing."""

    IDLE = enum.auto()
    READING = enum.auto()
    RUNNING = enum.auto()


#: Whose connections give way, in this order.
GIVING_WAY_PHASES = (Phase.READING, Phase.IDLE)


@dataclass(slots=True, eq=False)
class Account:
    """What one connection costs.

    :ivar give_way: ends what the connection sends
    :ivar held_bytes: memory that is counted for it
    :ivar phase: a connection whose request is running never gives way
    :ivar progressed_at: when its phase began or a part of a request arrived,
        in monotonic seconds
    :ivar unrecorded_bytes: that arrived since
    """

    give_way: GiveWay
    held_bytes: int = 0
    phase: Phase = Phase.READING
    progressed_at: float = 0
    unrecorded_bytes: int = 0


@dataclass(frozen=True, slots=True)
class IntakeState:
    """What all connections use, for the state dump.

    :ivar refusals: number of refused connections and requests by reason
    """

    limits: IntakeLimits
    connections: int
    held_bytes: int
    refusals: dict[str, int]


class Intake:
    """Counts what all connections cost and chooses which of them give way.

    :ivar held_bytes: memory that is counted for all connections
    :ivar pacer: shares the time for parsing
    :ivar refusals: number of refused connections and requests by reason
    """

    def __init__(self, limits: IntakeLimits, clock: Clock) -> None:
        self.limits = limits
        self.held_bytes = 0
        self.pacer = Pacer(clock)
        self.refusals: Counter[str] = Counter()
        self._clock = clock
        self._accounts: set[Account] = set()
        # The accounts that may give way, those without progress first.
        self._waiting: dict[Phase, dict[Account, None]] = {
            phase: {} for phase in GIVING_WAY_PHASES
        }
        self._logged: dict[str, tuple[float, int]] = {}

    @classmethod
    def of_machine(cls, memory_mb: int, clock: Clock) -> Self:
        """Return the account of this process; see :func:`machine_limits`."""
        return cls(machine_limits(memory_mb), clock)

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._accounts)

    @property
    def state(self) -> IntakeState:
        """Return what is used."""
        return IntakeState(
            self.limits, self.connections, self.held_bytes, self.refusals
        )

    def open(self, give_way: GiveWay) -> Account | None:
        """Return the account of a new connection; ``None`` if it is refused."""
        while self.connections >= self.limits.connections:
            if not self._make_way(GIVING_WAY_PHASES):
                self.count_refusal('connections')
                return None
        account = Account(give_way)
        self._accounts.add(account)
        self.enter(account, Phase.READING)
        if not self.reserve(account, CONNECTION_COST_BYTES):
            self.close(account)
            return None
        return account

    def close(self, account: Account) -> None:
        """Release all that a connection held."""
        if account in self._accounts:
            self._accounts.remove(account)
            self._forget(account)
            self.held_bytes -= account.held_bytes
            account.held_bytes = 0

    def enter(self, account: Account, phase: Phase) -> None:
        """Record that a connection begins a phase."""
        if account in self._accounts:
            self._forget(account)
            account.phase = phase
            self._record_progress(account)

    def record_bytes(self, account: Account, received: int) -> None:
        """Record that bytes of a request arrived."""
        account.unrecorded_bytes += received
        if account.unrecorded_bytes >= PROGRESS_BYTES:
            self.enter(account, account.phase)

    def reserve(self, account: Account, size: int) -> bool:
        """Count memory for a connection; return whether there is enough.

        Others that stand still give way first.
        """
        if account not in self._accounts:
            return False
        limit: float = self.limits.memory_bytes
        phases: Sequence[Phase] = GIVING_WAY_PHASES
        if account.held_bytes + size > SMALL_BYTES:
            limit *= LARGE_SHARE
            phases = phases[:1]
        while self.held_bytes + size > limit:
            if not self._make_way(phases, account):
                self.count_refusal('memory')
                return False
        account.held_bytes += size
        self.held_bytes += size
        return True

    def release(self, account: Account, size: int) -> None:
        """Count memory no longer."""
        if account in self._accounts:
            account.held_bytes -= size
            self.held_bytes -= size

    def count_refusal(self, reason: str, detail: str = '') -> None:
        """Count a refused connection or request, with a log line now and then.

        :param reason: name of the limit
        :param detail: what was wrong with this one
        """
        self.refusals[reason] += 1
        total = self.refusals[reason]
        now = self._clock.monotonic()
        logged_at, logged_total = self._logged.get(reason, (-LOG_INTERVAL_S, 0))
        if now - logged_at < LOG_INTERVAL_S:
            return
        self._logged[reason] = (now, total)
        log_message(
            'intake.refused',
            reason=reason,
            detail=detail,
            count=total - logged_total,
            connections=self.connections,
            held_bytes=self.held_bytes,
        )

    def _make_way(
        self, phases: Sequence[Phase], asking: Account | None = None
    ) -> bool:
        """Let one connection give way; return whether there was any."""
        for phase in phases:
            account = self._find_standstill(phase, asking)
            if account is not None:
                self.close(account)
                self.count_refusal('standstill')
                account.give_way()
                return True
        return False

    def _find_standstill(
        self, phase: Phase, asking: Account | None
    ) -> Account | None:
        """Return the account longest without progress, if that is too long."""
        latest = self._clock.monotonic() - STANDSTILL_S
        for account in self._waiting[phase]:
            if account is not asking:
                return account if account.progressed_at <= latest else None
        return None

    def _forget(self, account: Account) -> None:
        waiting = self._waiting.get(account.phase)
        if waiting is not None:
            waiting.pop(account, None)

    def _record_progress(self, account: Account) -> None:
        account.unrecorded_bytes = 0
        account.progressed_at = self._clock.monotonic()
        waiting = self._waiting.get(account.phase)
        if waiting is not None:
            waiting[account] = None
