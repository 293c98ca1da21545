"""
bergamotshed.dispatch.request_suspicion
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The quarantine status of one request, and its lock while it is suspect.
"""

__all__ = ('RequestSuspicion',)

from collections.abc import Sequence
from contextlib import AbstractContextManager
from datetime import timedelta

from ..clock import Clock
from ..routing.fingerprint_locks import FingerprintLocks
from ..routing.quarantine import Crash, FingerprintStatus, Quarantine

HOLD_CHECK_INTERVAL = timedelta(milliseconds=20)


class RequestSuspicion:
    """Quarantine status of one request; runs its repeats one at a time.

    :param parts: hashes of its messages
    """

    def __init__(
        self,
        fingerprint: int,
        parts: Sequence[int],
        quarantine: Quarantine,
        locks: FingerprintLocks,
        clock: Clock,
    ) -> None:
        self._clock = clock
        self._fingerprint = fingerprint
        self._parts = parts
        self._is_trial = False
        self._quarantine = quarantine
        self._locks = locks
        self._has_lock = False

    @property
    def is_suspect(self) -> bool:
        """Return whether the request was in flight at a crash.

        A suspect request runs apart from others.
        """
        return self._status is FingerprintStatus.SUSPECT

    @property
    def is_held(self) -> bool:
        """Return whether another router investigates a possible crash."""
        return self._quarantine.is_held(self._fingerprint)

    @property
    def must_wait(self) -> bool:
        """Return whether a run must not start before it has the lock, or
        before another router has investigated a possible crash.
        """
        return self.is_held or (self.is_suspect and not self._has_lock)

    @property
    def is_quarantined(self) -> bool:
        """Return whether the request must not run any more."""
        if self._status is FingerprintStatus.QUARANTINED:
            return True
        parts = self._quarantine.parts
        return parts.blames(self._parts) and not self._is_trial

    def begin_trial_if_due(self) -> None:
        """Let a request whose parts are blamed run if it is time to find out
        whether they still crash engines.
        """
        parts = self._quarantine.parts
        if parts.blames(self._parts):
            self._is_trial = parts.admits(self._parts)

    def record_answer(self) -> None:
        """Record that an engine has begun to answer the request."""
        self._quarantine.parts.record_answer(
            self._parts, self._clock.monotonic()
        )

    async def acquire_if_suspect(self) -> None:
        """Wait for holds to end; lock the fingerprint if it is suspect.

        Also waits for the lock if another run has it.
        """
        while self.is_held:
            await self._clock.sleep(HOLD_CHECK_INTERVAL)
        if self.is_suspect or self._locks.is_locked(self._fingerprint):
            await self.acquire()

    async def acquire(self) -> None:
        """Lock the fingerprint, so that its other runs wait.

        Does nothing if this run has the lock already.
        """
        if not self._has_lock:
            await self._locks.acquire(self._fingerprint)
            self._has_lock = True

    async def acquire_if_free(self) -> None:
        """Lock the fingerprint unless another run has the lock.

        A run that was cut must not wait for the lock before its crash is
        examined: the run that has the lock may be waiting for that result.
        """
        if not self._locks.is_locked(self._fingerprint):
            await self.acquire()

    def release(self) -> None:
        """Release the lock if this run has it."""
        if self._has_lock:
            self._has_lock = False
            self._locks.release(self._fingerprint)

    def record_possible_crash(
        self, crash: Crash, ended_at: float
    ) -> AbstractContextManager[None]:
        """Return a context for the time that a possible crash is investigated.

        :param ended_at: when the attempt was cut, in monotonic seconds
        """
        return self._quarantine.record_possible_crash(
            self._fingerprint, crash, ended_at
        )

    def record_crash(
        self,
        crash: Crash,
        started_at: float,
        ended_at: float,
        *,
        has_survived_start: bool,
    ) -> None:
        """Record that an attempt was cut by a crash.

        :param started_at: when it was sent, in monotonic seconds
        :param ended_at: when it was cut, in monotonic seconds
        :param has_survived_start: the engine had been answering for some time,
            so that it did not crash on a message
        """
        self._is_trial = False
        self._quarantine.record_crash(
            self._fingerprint,
            crash,
            started_at,
            ended_at,
            () if has_survived_start else self._parts,
        )

    @property
    def _status(self) -> FingerprintStatus:
        return self._quarantine.status(self._fingerprint)
