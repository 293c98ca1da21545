"""
bergamotshed.upstreams.liveness
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Checks by a connection attempt whether upstreams run.
"""

__all__ = ('LivenessChecks',)

import asyncio
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from .pool import ConnectionPool
from .types import UpstreamNotReached

#: How much earlier than the event in question a check may have begun: a lost
#: connection cuts many answers within a moment.
MAX_EARLINESS = timedelta(milliseconds=20)
#: Checks that are kept.
MAX_REMEMBERED = 4096


@dataclass(frozen=True, slots=True)
class _Check:
    """A check that has begun.

    :ivar begun_at: monotonic seconds
    """

    begun_at: float
    result: 'asyncio.Task[bool]'


class LivenessChecks:
    """Shares each check between those who need it at about the same time."""

    def __init__(self, pool: ConnectionPool, clock: Clock) -> None:
        self._pool = pool
        self._clock = clock
        self._checks: dict[str, _Check] = {}

    async def is_alive(self, address: str, since: float) -> bool:
        """Return whether a connection could be opened.

        :param since: monotonic time from which on a check counts
        """
        check = self._checks.get(address)
        earliest = since - MAX_EARLINESS.total_seconds()
        if check is None or check.begun_at < earliest:
            check = _Check(
                self._clock.monotonic(),
                asyncio.ensure_future(self._connects(address)),
            )
            if len(self._checks) > MAX_REMEMBERED:
                self._checks.clear()
            self._checks[address] = check
        return await asyncio.shield(check.result)

    async def _connects(self, address: str) -> bool:
        try:
            await self._pool.probe(address)
        except UpstreamNotReached:
            return False
        return True
