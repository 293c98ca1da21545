"""
bergamotshed.routing.fingerprint_locks
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A lock for each suspect fingerprint, so that repeats of a request don't crash
further upstreams before the first rerun has shown whether it crashes one.
"""

__all__ = ('FingerprintLocks',)

import asyncio
from collections import defaultdict


class FingerprintLocks:
    """Lets the runs of each fingerprint proceed one at a time."""

    def __init__(self) -> None:
        self._users: defaultdict[int, int] = defaultdict(int)
        self._locks: dict[int, asyncio.Lock] = {}

    @property
    def count(self) -> int:
        """Return how many fingerprints are locked."""
        return len(self._locks)

    def is_locked(self, fingerprint: int) -> bool:
        """Return whether a run holds or awaits the lock."""
        return fingerprint in self._locks

    async def acquire(self, fingerprint: int) -> None:
        """Wait for the lock; each acquisition needs one :meth:`release`."""
        lock = self._locks.setdefault(fingerprint, asyncio.Lock())
        self._users[fingerprint] += 1
        try:
            await lock.acquire()
        except BaseException:
            self._forget(fingerprint)
            raise

    def release(self, fingerprint: int) -> None:
        """Release the lock."""
        self._locks[fingerprint].release()
        self._forget(fingerprint)

    def _forget(self, fingerprint: int) -> None:
        self._users[fingerprint] -= 1
        if not self._users[fingerprint]:
            self._users.pop(fingerprint)
            self._locks.pop(fingerprint)
