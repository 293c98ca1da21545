"""
bergamotshed.control.claims
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Claims on idempotency keys, decided by the order of records in the log: a
request runs only after its router has read its own claim back as the first.
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

#: A claim that is not decided by then is refused as not run.
DECISION_TIMEOUT = timedelta(seconds=2)

#: When a refused caller should come back.
RETRY_AFTER = timedelta(seconds=2)

#: How often a claim is tried whose append was lost.
TRIES = 3

#: Largest difference between a key's time and the log's.
CLOCK_SKEW = timedelta(minutes=5)

#: How long after a lost answer the log may still apply the append.
LATE_APPEND = timedelta(seconds=30)

#: Largest answer that is kept for repeats, in bytes.
MAX_KEPT_ANSWER = 4096

RUN_BITS = 63


class LogClaims(Claims):
    """Claims in the streams ``claims-0`` to ``claims-(partitions - 1)``.

    :param node: this router's name
    :param window: a key with a time of its own (UUIDv7) is refused when it
        is older; other keys are known for as long as the log keeps records,
        this window at most
    :param partitions: the same on every router, for good
    :param number: makes the number of a run
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
        self._number = number or _random_run
        self._streams: dict[int, ClaimStream] = {}
        self._holding: dict[tuple[str, str, int], ClaimRun] = {}
        self._repairs = ClaimRepairs(clock)

    @property
    def pending(self) -> int:
        """Return how many answers and voids wait for the log."""
        return self._repairs.pending

    async def close(self) -> None:
        """Try once more to append what waits, then stop."""
        await self._repairs.close()
        for stream in self._streams.values():
            stream.close()

    async def claim(
        self, organisation: str, key: str
    ) -> Claim | SettledAnswer | Refusal:
        """Win the key, or return the earlier run's answer, or why not."""
        run = self._new_run(organisation, key)
        known = run.stream.table.holder(run.key)
        if known is not None and known.settled is not None:
            return _settled(known.settled)
        if self._is_expired(key, self._clock.now()):
            return _expired()
        decided = False
        try:
            async with asyncio.timeout(DECISION_TIMEOUT.total_seconds()):
                decision = await self._decide(run, organisation, key)
            decided = True
            return decision
        except (TimeoutError, LogError):
            return _unavailable()
        finally:
            if not decided:
                self._repairs.abandon(run)

    async def settle(self, claim: Claim, answer: SettledAnswer) -> None:
        """Keep the answer for repeats of the key, as far as possible."""
        run = self._holding.pop(_holding_key(claim), None)
        if run is None:
            return
        kept = len(answer.body) <= MAX_KEPT_ANSWER
        entry = SettledEntry(
            run.key,
            run.number,
            answer.status,
            answer.body if kept else b'',
            answer.content_type,
            kept,
        )
        self._repairs.append_soon(run, entry)

    async def void(self, claim: Claim) -> None:
        """Give the key back: the request provably did not run."""
        run = self._holding.pop(_holding_key(claim), None)
        if run is not None:
            self._repairs.append_soon(run, VoidedEntry(run.key, run.number))

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
        return ClaimRun(stream, digest, self._number())

    async def _decide(
        self, run: ClaimRun, organisation: str, key: str
    ) -> Claim | SettledAnswer | Refusal:
        for _ in range(TRIES):
            await self._contend(run)
            holder = run.stream.table.holder(run.key)
            if holder is None or holder.run is None:
                continue
            if self._repairs.is_voiding(holder.run):
                await self._repairs.repair()
                continue
            return self._decision(run, holder, organisation, key)
        self._repairs.abandon(run)
        return _unavailable()

    async def _contend(self, run: ClaimRun) -> None:
        """Claim the key unless it is held, then read what came of it."""
        holder = run.stream.table.holder(run.key)
        if holder is None or holder.run is None:
            await self._append_claim(run)
        await run.stream.refresh()

    async def _append_claim(self, run: ClaimRun) -> None:
        may_append_until = self._clock.monotonic() + LATE_APPEND.total_seconds()
        before = run.may_append_until
        run.may_append_until = may_append_until
        try:
            await run.stream.append(ClaimEntry(run.key, run.number))
        except LogAnswerLost:
            return
        except LogUnavailable:
            run.may_append_until = before
            raise
        run.may_append_until = before
        run.is_appended = True

    def _decision(
        self, run: ClaimRun, holder: ClaimHolder, organisation: str, key: str
    ) -> Claim | SettledAnswer | Refusal:
        if holder.settled is not None:
            return _settled(holder.settled)
        if holder.run != run.number:
            return self._lost(run, holder, organisation, key)
        expired = self._is_expired(key, holder.time)
        if expired or not _is_covered(run, key):
            self._repairs.append_soon(run, VoidedEntry(run.key, run.number))
            return _expired()
        return self._won(run, holder, organisation, key)

    def _won(
        self, run: ClaimRun, holder: ClaimHolder, organisation: str, key: str
    ) -> Claim:
        claim = Claim(organisation, key, run.stream.name, holder.offset)
        self._holding[_holding_key(claim)] = run
        return claim

    def _lost(
        self, run: ClaimRun, holder: ClaimHolder, organisation: str, key: str
    ) -> Claim | Refusal:
        """Take over an own earlier run that never ran, or give up."""
        self._repairs.abandon(run)
        earlier = None
        if holder.run is not None:
            earlier = self._repairs.reclaim(holder.run)
        if earlier is not None:
            return self._won(earlier, holder, organisation, key)
        return Refusal(
            Reason.CLAIM_TAKEN, None, 'the key was claimed by another run'
        )

    def _is_expired(self, key: str, now: datetime) -> bool:
        made = key_time(key)
        if made is None:
            return False
        return made < now - self._window or made > now + CLOCK_SKEW


def _holding_key(claim: Claim) -> tuple[str, str, int]:
    return claim.organisation, claim.key, claim.offset


def _is_covered(run: ClaimRun, key: str) -> bool:
    """Tell whether any earlier claim of the key would be known."""
    made = key_time(key)
    return made is None or run.stream.table.covers(made - CLOCK_SKEW)


def _random_run() -> int:
    return SystemRandom().getrandbits(RUN_BITS)


def _settled(entry: SettledEntry) -> SettledAnswer | Refusal:
    if entry.kept:
        return SettledAnswer(entry.status, entry.body, entry.content_type)
    return Refusal(
        Reason.CLAIM_TAKEN, None, 'it ran; its answer was too large to keep'
    )


def _unavailable() -> Refusal:
    return Refusal(
        Reason.CLAIM_UNAVAILABLE, RETRY_AFTER, 'nothing ran; the log is slow'
    )


def _expired() -> Refusal:
    return Refusal(Reason.KEY_EXPIRED, None, 'the key is too old')
