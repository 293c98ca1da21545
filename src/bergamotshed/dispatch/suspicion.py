"""
bergamotshed.dispatch.suspicion
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One request before the quarantine.
"""

__all__ = ('RequestSuspicion',)

from contextlib import AbstractContextManager
from datetime import timedelta

from ..clock import Clock
from ..routing.fingerprint_locks import FingerprintLocks
from ..routing.quarantine import Crash, FingerprintStatus, Quarantine

HOLD_PAUSE = timedelta(milliseconds=20)


class RequestSuspicion:
    """What is known against one request, and its turn once suspect."""

    def __init__(
        self,
        fingerprint: int,
        quarantine: Quarantine,
        turns: FingerprintLocks,
        clock: Clock,
    ) -> None:
        self._clock = clock
        self._fingerprint = fingerprint
        self._quarantine = quarantine
        self._turns = turns
        self._has_turn = False

    @property
    def is_suspect(self) -> bool:
        """Tell whether the request has to run apart."""
        return self._standing is FingerprintStatus.SUSPECT

    @property
    def is_held(self) -> bool:
        """Tell whether another router is looking into the request."""
        return self._quarantine.is_held(self._fingerprint)

    @property
    def is_quarantined(self) -> bool:
        """Tell whether the request is not run any more."""
        return self._standing is FingerprintStatus.QUARANTINED

    async def enter(self) -> None:
        """Wait until no other run of the same suspect request is left."""
        while self.is_held:
            await self._clock.sleep(HOLD_PAUSE)
        if self.is_suspect or self._turns.is_locked(self._fingerprint):
            await self.hold()

    async def hold(self) -> None:
        """Keep other runs of the same request back until :meth:`leave`."""
        if not self._has_turn:
            await self._turns.acquire(self._fingerprint)
            self._has_turn = True

    def leave(self) -> None:
        """Give the turn back, if there is one."""
        if self._has_turn:
            self._has_turn = False
            self._turns.release(self._fingerprint)

    def investigating(
        self, crash: Crash, ended: float
    ) -> AbstractContextManager[None]:
        """Return a context during which a possible crash is looked into.

        :param ended: when the attempt was cut, in monotonic seconds
        """
        return self._quarantine.record_possible_crash(
            self._fingerprint, crash, ended
        )

    def record_crash(self, crash: Crash, began: float, ended: float) -> None:
        """Note that an attempt was cut by a crash.

        :param began: when it was sent, in monotonic seconds
        :param ended: when it was cut, in monotonic seconds
        """
        self._quarantine.record_crash(self._fingerprint, crash, began, ended)

    @property
    def _standing(self) -> FingerprintStatus:
        return self._quarantine.status(self._fingerprint)
