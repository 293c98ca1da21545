"""
bergamotshed.routing.crashes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Crashes of upstreams and the requests that were in flight at each.
"""

__all__ = ('Crash', 'CrashReport', 'CrashTable', 'PartSighting')

import math
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from datetime import timedelta

from ..clock import Clock

MAX_CRASHES = 500


@dataclass(frozen=True, slots=True)
class Crash:
    """The end of one run of an upstream.

    :ivar boot: the boot id of the run that ended, or empty if unknown
    """

    upstream: str
    boot: str


@dataclass(frozen=True, slots=True)
class PartSighting:
    """A part of requests that were in flight at a crash.

    :ivar part: hash that is equal for equal contents
    :ivar sent_age: time since the last request with it was sent
    """

    part: int
    sent_age: timedelta


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Fingerprints that were in flight at a crash.

    :ivar age: time since the crash was noticed
    :ivar pending: the crash is not confirmed yet; the report only holds the
        fingerprints for a short time
    :ivar parts: the parts of requests whose answers had not begun
    """

    crash: Crash
    fingerprints: tuple[int, ...]
    age: timedelta = timedelta(0)
    pending: bool = False
    parts: tuple[PartSighting, ...] = ()


@dataclass(slots=True)
class _Record:
    """A confirmed crash.

    :ivar noticed_at: monotonic seconds
    """

    noticed_at: float
    fingerprints: set[int] = field(default_factory=set)


class CrashTable:
    """Remembers confirmed crashes, and those under investigation.

    :param ttl: how long a crash is remembered
    """

    def __init__(self, clock: Clock, ttl: timedelta) -> None:
        self._clock = clock
        self._ttl_s = ttl.total_seconds()
        self._records: dict[Crash, _Record] = {}
        self._cuts_by_crash: dict[Crash, list[float]] = {}

    @property
    def fingerprint_sets(self) -> list[set[int]]:
        """Return the fingerprints in flight at each crash."""
        return [record.fingerprints for record in self._records.values()]

    def is_known(self, crash: Crash) -> bool:
        """Return whether a crash is confirmed."""
        return crash in self._records

    def first_cut_at(self, crash: Crash) -> float:
        """Return when its first request was cut, in monotonic seconds;
        infinity for an unknown crash.
        """
        cuts = list(self._cuts_by_crash.get(crash, ()))
        record = self._records.get(crash)
        if record is not None:
            cuts.append(record.noticed_at)
        return min(cuts, default=math.inf)

    @contextmanager
    def investigating(self, crash: Crash, cut_at: float) -> Iterator[None]:
        """Treat a crash as possible while the context is open.

        :param cut_at: when a request was cut, in monotonic seconds
        """
        cuts = self._cuts_by_crash.setdefault(crash, [])
        cuts.append(cut_at)
        try:
            yield
        finally:
            cuts.remove(cut_at)
            if not cuts:
                self._cuts_by_crash.pop(crash, None)

    def add(self, report: CrashReport) -> bool:
        """Add a report; return whether it holds a new fingerprint."""
        noticed_at = self._clock.monotonic() - report.age.total_seconds()
        record = self._records.setdefault(report.crash, _Record(noticed_at))
        record.noticed_at = min(record.noticed_at, noticed_at)
        before = len(record.fingerprints)
        record.fingerprints.update(report.fingerprints)
        return len(record.fingerprints) > before

    def expire(self) -> bool:
        """Drop old crashes; return whether there were any."""
        horizon = self._clock.monotonic() - self._ttl_s
        excess = len(self._records) - MAX_CRASHES
        outdated = [
            crash
            for index, (crash, record) in enumerate(self._records.items())
            if index < excess or record.noticed_at < horizon
        ]
        for crash in outdated:
            self._records.pop(crash)
        return bool(outdated)

    def crashed_by(self, fingerprint: int) -> tuple[str, ...]:
        """Return the upstream of each crash at which a request was in
        flight.
        """
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
                timedelta(seconds=now - record.noticed_at),
            )
            for crash, record in self._records.items()
        )
