"""
bergamotshed.control.claims
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Claims on idempotency keys, decided by the order of records in the log: a
request runs only after its router has read back that its own claim is the
first.
"""

__all__ = ('LogClaims',)

import asyncio
from collections.abc import Callable
from datetime import datetime, timedelta
from random import SystemRandom

from ..clock import Clock
from ..log.types import Log, LogAnswerLost, LogError, LogUnavailable
from ..reasons import Reason, Refusal
from ..routing.claimtable import (
    ClaimEntry,
    ClaimHolder,
    SettledEntry,
    VoidedEntry,
)
from .claimrecords import key_digest, key_time, stream_number
from .claimrepairs import ClaimRepairs, ClaimRun
from .claimstream import ClaimStream
from .types import Claim, Claims, SettledAnswer

#: A claim that is not decided within this time is refused; nothing runs.
DECISION_TIMEOUT = timedelta(seconds=2)

#: Delay after which a refused caller should retry.
RETRY_AFTER = timedelta(seconds=2)

#: Largest number of attempts to decide a claim, as appends may be lost.
MAX_TRIES = 3

#: Largest expected difference between the clock that made a UUIDv7 key and
#: the log's.
CLOCK_SKEW = timedelta(minutes=5)

#: How long after its start an append whose answer was lost may still be
#: applied by the log.
MAX_APPEND_DELAY = timedelta(seconds=30)

#: Largest answer that is stored for repeats of a key.
MAX_KEPT_ANSWER_BYTES = 4096

RUN_NUMBER_BITS = 63


class LogClaims(Claims):
    """Claims in the streams ``claims-0`` to ``claims-(partitions - 1)``.

    :param node: this router's name
    :param window: a key that contains a time (UUIDv7) is refused when it is
        older than this; other keys are remembered for as long as the log
        keeps records, but no longer than this window
    :param partitions: number of streams; must be the same on every router
        and never change
    :param number: returns a random number for each run
    """

    def __init__(
        self,
        log: Log,
        node: str,
        clock: Clock,
        window: timedelta = timedelta(hours=24),
        partitions: int = 16,
        number: Callable[[], int] | None = None,
    ) -> None:
        self._log = log
        self._node = node
        self._clock = clock
        self._window = window
        self.partitions = partitions
        self._make_number = number or _random_run_number
        self._streams: dict[int, ClaimStream] = {}
        self._held_runs: dict[tuple[str, str, int], ClaimRun] = {}
        self._repairs = ClaimRepairs(clock)

    @property
    def pending(self) -> int:
        """Return the number of entries and runs that wait for the log."""
        return self._repairs.pending

    async def close(self) -> None:
        """Try once more to append pending entries, then stop."""
        await self._repairs.close()
        for stream in self._streams.values():
            stream.close()

    async def claim(
        self, organisation: str, key: str
    ) -> Claim | SettledAnswer | Refusal:
        """Win the key, or return an earlier run's answer or a refusal."""
        run = self._new_run(organisation, key)
        holder = run.stream.table.holder(run.key)
        if holder is not None and holder.settled is not None:
            return _settled(holder.settled)
        if self._is_expired(key, self._clock.now()):
            return _expired()
        is_decided = False
        try:
            async with asyncio.timeout(DECISION_TIMEOUT.total_seconds()):
                decision = await self._decide(run, organisation, key)
            is_decided = True
            return decision
        except (TimeoutError, LogError):
            return _unavailable()
        finally:
            if not is_decided:
                self._repairs.abandon(run)

    async def settle(self, claim: Claim, answer: SettledAnswer) -> None:
        """Store the answer for repeats of the key, on a best-effort basis."""
        run = self._held_runs.pop(_claim_id(claim), None)
        if run is None:
            return
        is_kept = len(answer.body) <= MAX_KEPT_ANSWER_BYTES
        entry = SettledEntry(
            run.key,
            run.number,
            answer.status,
            answer.body if is_kept else b'',
            answer.content_type,
            is_kept,
        )
        self._repairs.enqueue(run, entry)

    async def void(self, claim: Claim) -> None:
        """Release the key, as the request certainly did not run."""
        run = self._held_runs.pop(_claim_id(claim), None)
        if run is not None:
            self._repairs.enqueue(run, VoidedEntry(run.key, run.number))

    def _new_run(self, organisation: str, key: str) -> ClaimRun:
        digest = key_digest(organisation, key)
        partition = stream_number(organisation, key, self.partitions)
        stream = self._streams.get(partition)
        if stream is None:
            stream = ClaimStream(
                self._log,
                f'claims-{partition}',
                self._clock,
                self._window + 2 * CLOCK_SKEW,
            )
            self._streams[partition] = stream
        return ClaimRun(stream, digest, self._make_number())

    async def _decide(
        self, run: ClaimRun, organisation: str, key: str
    ) -> Claim | SettledAnswer | Refusal:
        for _ in range(MAX_TRIES):
            await self._contend(run)
            holder = run.stream.table.holder(run.key)
            if holder is None or holder.run is None:
                continue
            if self._repairs.is_voiding(holder.run):
                await self._repairs.repair()
                continue
            return self._resolve(run, holder, organisation, key)
        self._repairs.abandon(run)
        return _unavailable()

    async def _contend(self, run: ClaimRun) -> None:
        """Append a claim unless the key is held, then read the stream."""
        holder = run.stream.table.holder(run.key)
        if holder is None or holder.run is None:
            await self._append_claim(run)
        await run.stream.refresh()

    async def _append_claim(self, run: ClaimRun) -> None:
        may_append_until = (
            self._clock.monotonic() + MAX_APPEND_DELAY.total_seconds()
        )
        previous = run.may_append_until
        run.may_append_until = may_append_until
        try:
            await run.stream.append(ClaimEntry(run.key, run.number))
        except LogAnswerLost:
            return
        except LogUnavailable:
            run.may_append_until = previous
            raise
        run.may_append_until = previous
        run.is_appended = True

    def _resolve(
        self, run: ClaimRun, holder: ClaimHolder, organisation: str, key: str
    ) -> Claim | SettledAnswer | Refusal:
        if holder.settled is not None:
            return _settled(holder.settled)
        if holder.run != run.number:
            return self._resolve_lost(run, holder, organisation, key)
        is_expired = self._is_expired(key, holder.time)
        if is_expired or not _is_covered(run, key):
            self._repairs.enqueue(run, VoidedEntry(run.key, run.number))
            return _expired()
        return self._take_claim(run, holder, organisation, key)

    def _take_claim(
        self, run: ClaimRun, holder: ClaimHolder, organisation: str, key: str
    ) -> Claim:
        claim = Claim(organisation, key, run.stream.name, holder.offset)
        self._held_runs[_claim_id(claim)] = run
        return claim

    def _resolve_lost(
        self, run: ClaimRun, holder: ClaimHolder, organisation: str, key: str
    ) -> Claim | Refusal:
        """Resume this router's own abandoned run if it won, or refuse."""
        self._repairs.abandon(run)
        reclaimed = None
        if holder.run is not None:
            reclaimed = self._repairs.reclaim(holder.run)
        if reclaimed is not None:
            return self._take_claim(reclaimed, holder, organisation, key)
        return Refusal(
            Reason.CLAIM_TAKEN, None, 'the key was claimed by another run'
        )

    def _is_expired(self, key: str, now: datetime) -> bool:
        created_at = key_time(key)
        if created_at is None:
            return False
        return created_at < now - self._window or created_at > now + CLOCK_SKEW


def _claim_id(claim: Claim) -> tuple[str, str, int]:
    return claim.organisation, claim.key, claim.offset


def _is_covered(run: ClaimRun, key: str) -> bool:
    """Return whether any earlier claim of the key would be known."""
    created_at = key_time(key)
    return created_at is None or run.stream.table.covers(
        created_at - CLOCK_SKEW
    )


def _random_run_number() -> int:
    return SystemRandom().getrandbits(RUN_NUMBER_BITS)


def _settled(entry: SettledEntry) -> SettledAnswer | Refusal:
    if entry.kept:
        return SettledAnswer(entry.status, entry.body, entry.content_type)
    return Refusal(
        Reason.CLAIM_TAKEN,
        None,
        'it ran; its answer was too large to keep',
    )


def _unavailable() -> Refusal:
    return Refusal(
        Reason.CLAIM_UNAVAILABLE,
        RETRY_AFTER,
        'nothing ran; the log is slow',
    )


def _expired() -> Refusal:
    return Refusal(
        Reason.KEY_EXPIRED,
        None,
        'the key is too old',
    )
