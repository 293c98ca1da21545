"""
bergamotshed.forwarding.crash_detector
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Detects whether an upstream crashed while it ran a request, and keeps requests
that crash upstreams from being sent again.
"""

__all__ = ('CrashDetector', 'RequestTraits', 'request_traits')

import asyncio
from dataclasses import dataclass
from functools import partial

from eliot import log_message

from ..clock import Clock
from ..routing.crashes import Crash
from ..routing.hashing import stable_hash
from ..routing.part_sightings import select_parts
from ..routing.quarantine import FingerprintStatus, Quarantine
from ..upstreams.liveness import LivenessChecks
from ..upstreams.pool import ConnectionPool
from ..upstreams.registry import UpstreamRegistry
from ..upstreams.types import Instance
from .control_probes import ControlProbes
from .types import RoutedRequest
from .unproven_crashes import CutAnswer, UnprovenCrashes


@dataclass(frozen=True, slots=True)
class RequestTraits:
    """What a request has in common with others that crash upstreams.

    :ivar fingerprint: hash that is equal for repeats of a request with one key
    :ivar parts: hashes of the parts of its prompt, each equal for equal parts
    """

    fingerprint: int
    parts: tuple[int, ...]


class CrashDetector:
    """Distinguishes crashes from lost answers by a connection attempt.

    :ivar unproven: upstreams of which that can't tell yet
    """

    def __init__(
        self,
        quarantine: Quarantine,
        registry: UpstreamRegistry,
        pool: ConnectionPool,
        clock: Clock,
    ) -> None:
        self._quarantine = quarantine
        self._probes = ControlProbes(registry, LivenessChecks(pool, clock))
        self.unproven = UnprovenCrashes(registry, self._probes, clock)
        self._clock = clock
        self._tasks: set[asyncio.Task[None]] = set()

    def admits(self, traits: RequestTraits) -> bool:
        """Return whether a request may be sent to an upstream."""
        status = self._quarantine.status(traits.fingerprint)
        if status is FingerprintStatus.QUARANTINED:
            return False
        return self._quarantine.parts.admits(traits.parts)

    def record_answer(self, traits: RequestTraits) -> None:
        """Record that a request was answered, even if by an error."""
        self._quarantine.record_answer(traits.fingerprint)

    def record_begun(self, traits: RequestTraits) -> None:
        """Record that an upstream has begun to answer a request."""
        now = self._clock.monotonic()
        self._quarantine.parts.record_answer(traits.parts, now)

    def investigate_cut(
        self, traits: RequestTraits, instance: Instance, started_at: float
    ) -> None:
        """Check in the background whether a cut answer was due to a crash.

        :param traits: without the parts if the answer had begun
        :param started_at: when the request was sent, in monotonic seconds
        """
        ended_at = self._clock.monotonic()
        task = asyncio.ensure_future(
            self._investigate(traits, instance, started_at, ended_at)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _investigate(
        self,
        traits: RequestTraits,
        instance: Instance,
        started_at: float,
        ended_at: float,
    ) -> None:
        if await self._probes.is_alive(instance.address, ended_at):
            return
        record = partial(
            self._record_crash, traits, instance, started_at, ended_at
        )
        if await self._probes.find_reachable(ended_at, instance) is not None:
            record()
            return
        log_message(
            'upstream.crash_unproven',
            upstream=instance.name,
            born=instance.born,
            sequence=instance.sequence,
            fingerprint=traits.fingerprint,
            detail='this router reaches no other upstream either',
        )
        cut_at = self._clock.boottime() - (self._clock.monotonic() - ended_at)
        self.unproven.add(CutAnswer(instance, cut_at, record))

    def _record_crash(
        self,
        traits: RequestTraits,
        instance: Instance,
        started_at: float,
        ended_at: float,
    ) -> None:
        status = self._quarantine.record_crash(
            traits.fingerprint,
            Crash(instance.name, str(instance.born)),
            started_at,
            ended_at,
            traits.parts,
        )
        log_message(
            'upstream.crashed',
            upstream=instance.name,
            born=instance.born,
            fingerprint=traits.fingerprint,
            age=round(self._clock.monotonic() - ended_at, 3),
            standing=status.value,
            parts=traits.parts,
            suspect_parts=sorted(self._quarantine.parts.suspects),
        )


def request_traits(request: RoutedRequest) -> RequestTraits:
    """Return the traits of a request."""
    fingerprint = stable_hash(
        'routed',
        request.api_key or '',
        request.host,
        request.method,
        request.target,
        request.body.decode('latin-1'),
    )
    return RequestTraits(
        fingerprint,
        tuple(
            stable_hash('part', part.name)
            for part in select_parts(request.prompt_parts)
        ),
    )
