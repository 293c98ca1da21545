"""
bergamotshed.routing.crashes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Crashes of upstreams and the requests that were in flight at each.
"""

__all__ = ('Crash', 'CrashReport', 'CrashTable')

import math
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from datetime import timedelta

from ..clock import Clock

MAX_CRASHES = 500


@dataclass(frozen=True, slots=True)
class Crash:
    """One end of one run of an upstream.

    :ivar boot: the boot id of the run that ended, or empty if unknown
    """

    upstream: str
    boot: str


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Fingerprints that were in flight at a crash.

    :ivar age: since the crash was noticed
    :ivar pending: the crash is not confirmed yet; it holds the fingerprints
        for a moment and counts for nothing else
    """

    crash: Crash
    fingerprints: tuple[int, ...]
    age: timedelta = timedelta(0)
    pending: bool = False


@dataclass(slots=True)
class _Record:
    """What is remembered of a crash; ``noticed`` is monotonic seconds."""

    noticed: float
    fingerprints: set[int] = field(default_factory=set)


class CrashTable:
    """Remembers confirmed crashes, and those that are being looked into.

    :param ttl: how long a crash is remembered
    """

    def __init__(self, clock: Clock, ttl: timedelta) -> None:
        self._clock = clock
        self._ttl = ttl.total_seconds()
        self._records: dict[Crash, _Record] = {}
        self._open: dict[Crash, list[float]] = {}

    @property
    def fingerprint_sets(self) -> list[set[int]]:
        """Return the fingerprints in flight at each crash."""
        return [record.fingerprints for record in self._records.values()]

    def is_known(self, crash: Crash) -> bool:
        """Tell whether a crash is confirmed."""
        return crash in self._records

    def first_seen(self, crash: Crash) -> float:
        """Return the monotonic seconds of its first cut, or infinity."""
        cuts = list(self._open.get(crash, ()))
        known = self._records.get(crash)
        if known is not None:
            cuts.append(known.noticed)
        return min(cuts, default=math.inf)

    @contextmanager
    def investigating(self, crash: Crash, ended: float) -> Iterator[None]:
        """Take a crash as possible for a while.

        :param ended: when a request was cut, in monotonic seconds
        """
        cuts = self._open.setdefault(crash, [])
        cuts.append(ended)
        try:
            yield
        finally:
            cuts.remove(ended)
            if not cuts:
                self._open.pop(crash, None)

    def add(self, report: CrashReport) -> bool:
        """Enter a report; false if it tells nothing new."""
        noticed = self._clock.monotonic() - report.age.total_seconds()
        record = self._records.setdefault(report.crash, _Record(noticed))
        record.noticed = min(record.noticed, noticed)
        before = len(record.fingerprints)
        record.fingerprints.update(report.fingerprints)
        return len(record.fingerprints) > before

    def expire(self) -> bool:
        """Forget old crashes; true if there were any."""
        oldest = self._clock.monotonic() - self._ttl
        over = len(self._records) - MAX_CRASHES
        outdated = [
            crash
            for place, (crash, record) in enumerate(self._records.items())
            if place < over or record.noticed < oldest
        ]
        for crash in outdated:
            self._records.pop(crash)
        return bool(outdated)

    def crashed_by(self, fingerprint: int) -> tuple[str, ...]:
        """Return the upstream of each crash that a request was at."""
        return tuple(
            crash.upstream
            for crash, record in self._records.items()
            if fingerprint in record.fingerprints
        )

    def reports(self) -> tuple[CrashReport, ...]:
        """Return all confirmed crashes."""
        now = self._clock.monotonic()
        return tuple(
            CrashReport(
                crash,
                tuple(sorted(record.fingerprints)),
                timedelta(seconds=now - record.noticed),
            )
            for crash, record in self._records.items()
        )
