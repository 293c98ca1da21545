"""
bergamotshed.routing.fingerprint_locks
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One run at a time of each suspect request, so that its repeats do not crash
further upstreams before the first rerun has shown what it does.
"""

__all__ = ('FingerprintLocks',)

import asyncio
from collections import defaultdict


class FingerprintLocks:
    """Gives each fingerprint to one run after the other."""

    def __init__(self) -> None:
        self._waiting: defaultdict[int, int] = defaultdict(int)
        self._locks: dict[int, asyncio.Lock] = {}

    @property
    def count(self) -> int:
        """Return how many fingerprints run or wait."""
        return len(self._locks)

    def is_locked(self, fingerprint: int) -> bool:
        """Tell whether a run has the turn."""
        return fingerprint in self._locks

    async def acquire(self, fingerprint: int) -> None:
        """Wait for the turn; it must be given back once."""
        lock = self._locks.setdefault(fingerprint, asyncio.Lock())
        self._waiting[fingerprint] += 1
        try:
            await lock.acquire()
        except BaseException:
            self._forget(fingerprint)
            raise

    def release(self, fingerprint: int) -> None:
        """End a turn."""
        self._locks[fingerprint].release()
        self._forget(fingerprint)

    def _forget(self, fingerprint: int) -> None:
        self._waiting[fingerprint] -= 1
        if not self._waiting[fingerprint]:
            self._waiting.pop(fingerprint)
            self._locks.pop(fingerprint)
