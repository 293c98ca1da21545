"""
bergamotshed.forwarding.crash_detector
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Detects whether an upstream crashed while it ran a request, and keeps requests
that crash upstreams from being sent again.
"""

__all__ = ('CrashDetector', 'request_fingerprint')

import asyncio
from collections import OrderedDict
from dataclasses import dataclass
from datetime import timedelta

from eliot import log_message

from ..clock import Clock
from ..routing.crashes import Crash
from ..routing.hashing import stable_hash
from ..routing.quarantine import FingerprintStatus, Quarantine
from ..upstreams.pool import ConnectionPool
from ..upstreams.types import Instance, UpstreamNotReached
from .types import RoutedRequest

#: Minimum interval between checks of one upstream, whose result is reused in
#: between: a lost connection cuts many answers at once.
CHECK_INTERVAL = timedelta(milliseconds=300)
#: Maximum number of fingerprints of answered requests, and of results of
#: checks, that are kept.
MAX_REMEMBERED = 4096


@dataclass(frozen=True, slots=True)
class _ProbeResult:
    """Whether an upstream accepted a connection.

    :ivar probed_at: monotonic seconds
    """

    probed_at: float
    is_alive: bool


class CrashDetector:
    """Distinguishes crashes from lost answers by a connection attempt."""

    def __init__(
        self, quarantine: Quarantine, pool: ConnectionPool, clock: Clock
    ) -> None:
        self._quarantine = quarantine
        self._pool = pool
        self._clock = clock
        self._probe_results: dict[str, _ProbeResult] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._successes: OrderedDict[int, None] = OrderedDict()

    def is_harmful(self, fingerprint: int) -> bool:
        """Return whether a request has crashed too many upstreams.

        A request that succeeded since is not harmful: it only ran beside one
        that is.
        """
        if fingerprint in self._successes:
            return False
        status = self._quarantine.status(fingerprint)
        return status is FingerprintStatus.QUARANTINED

    def record_success(self, fingerprint: int) -> None:
        """Record that a suspect or quarantined request was answered."""
        if self._quarantine.status(fingerprint) is FingerprintStatus.CLEAR:
            return
        self._successes[fingerprint] = None
        if len(self._successes) > MAX_REMEMBERED:
            self._successes.popitem(last=False)

    def investigate_cut(
        self, fingerprint: int, instance: Instance, started_at: float
    ) -> None:
        """Check in the background whether a cut answer was due to a crash.

        :param started_at: when the request was sent, in monotonic seconds
        """
        ended_at = self._clock.monotonic()
        task = asyncio.ensure_future(
            self._investigate(fingerprint, instance, started_at, ended_at)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _investigate(
        self,
        fingerprint: int,
        instance: Instance,
        started_at: float,
        ended_at: float,
    ) -> None:
        if await self._is_alive(instance):
            return
        crash = Crash(instance.name, str(instance.born))
        status = self._quarantine.record_crash(
            fingerprint, crash, started_at, ended_at
        )
        log_message(
            'upstream.crashed',
            upstream=instance.name,
            born=instance.born,
            fingerprint=fingerprint,
            standing=status.value,
        )

    async def _is_alive(self, instance: Instance) -> bool:
        cached = self._probe_results.get(instance.address)
        valid_since = self._clock.monotonic() - CHECK_INTERVAL.total_seconds()
        if cached is not None and cached.probed_at > valid_since:
            return cached.is_alive
        is_alive = True
        try:
            await self._pool.probe(instance.address)
        except UpstreamNotReached:
            is_alive = False
        now = self._clock.monotonic()
        self._probe_results[instance.address] = _ProbeResult(now, is_alive)
        if len(self._probe_results) > MAX_REMEMBERED:
            self._probe_results.clear()
        return is_alive


def request_fingerprint(request: RoutedRequest) -> int:
    """Return a hash that is equal for repeats of a request with one key."""
    return stable_hash(
        'routed',
        request.api_key or '',
        request.host,
        request.method,
        request.target,
        request.body.decode('latin-1'),
    )
