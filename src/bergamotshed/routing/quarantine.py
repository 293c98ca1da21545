"""
bergamotshed.routing.quarantine
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Finds the request that crashes each upstream that runs it, without giving up
those that merely ran beside it.
"""

__all__ = ('Crash', 'CrashReport', 'FingerprintStatus', 'Quarantine')

from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from datetime import timedelta
from enum import Enum

from ..clock import Clock
from .attribution import attribute_crashes
from .crashes import Crash, CrashReport, CrashTable
from .holds import Holds

DEFAULT_LIMIT = 2
DEFAULT_TTL = timedelta(hours=1)


class FingerprintStatus(Enum):
    """What the crashes say of a fingerprint."""

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    QUARANTINED = 'quarantined'


class Quarantine:
    """Judges fingerprints by the crashes that they were in flight at.

    All of its state follows from the set of crash reports, so routers that have
    the same reports agree, whatever the order they came in.

    :param limit: distinct crashes that quarantine a fingerprint
    :param ttl: how long a crash is remembered
    """

    def __init__(
        self,
        clock: Clock,
        limit: int = DEFAULT_LIMIT,
        ttl: timedelta = DEFAULT_TTL,
    ) -> None:
        self._clock = clock
        self._limit = limit
        self._book = CrashTable(clock, ttl)
        self._holds = Holds(clock)
        self._suspects: frozenset[int] = frozenset()
        self._quarantined: frozenset[int] = frozenset()
        self._listeners: list[Callable[[CrashReport], None]] = []

    @property
    def quarantined(self) -> frozenset[int]:
        """Return the fingerprints that are not run any more."""
        self._expire()
        return self._quarantined

    def crashed_by(self, fingerprint: int) -> tuple[str, ...]:
        """Return the upstream of each crash that a request was at."""
        if fingerprint not in self._suspects:
            return ()
        return self._book.crashed_by(fingerprint)

    def on_change(self, listener: Callable[[CrashReport], None]) -> None:
        """Call the listener with each report that is made here."""
        self._listeners.append(listener)

    def status(self, fingerprint: int) -> FingerprintStatus:
        """Return what is known of a fingerprint."""
        self._expire()
        if fingerprint in self._quarantined:
            return FingerprintStatus.QUARANTINED
        if fingerprint in self._suspects:
            return FingerprintStatus.SUSPECT
        return FingerprintStatus.CLEAR

    def is_held(self, fingerprint: int) -> bool:
        """Tell whether another router is looking into the request."""
        return self._holds.held(fingerprint)

    def is_crash_known(self, crash: Crash) -> bool:
        """Tell whether a run of an upstream is known to be over."""
        return self._book.is_known(crash)

    def record_crash(
        self, fingerprint: int, crash: Crash, started_at: float, cut_at: float
    ) -> FingerprintStatus:
        """Note that a request was in flight at a crash.

        One that began after others had seen the crash only met an upstream
        that was already down, which says nothing against it.

        :param began: when it was sent, in monotonic seconds
        :param ended: when it was cut, in monotonic seconds
        """
        if started_at > self._book.first_seen(crash):
            return self.status(fingerprint)
        age = timedelta(seconds=self._clock.monotonic() - cut_at)
        report = CrashReport(crash, (fingerprint,), age)
        if self.merge((report,)):
            self._tell(report)
        return self.status(fingerprint)

    @contextmanager
    def record_possible_crash(
        self, fingerprint: int, crash: Crash, ended: float
    ) -> Iterator[None]:
        """Take a crash as possible while it is being looked into.

        :param ended: when a request was cut, in monotonic seconds
        """
        with self._book.investigating(crash, ended):
            self._tell(CrashReport(crash, (fingerprint,), pending=True))
            yield

    def merge(self, reports: Iterable[CrashReport]) -> int:
        """Take reports of other routers; return how many told news."""
        news = sum(self._take(report) for report in reports)
        if news:
            self._judge()
        return news

    def export(self) -> tuple[CrashReport, ...]:
        """Return all reports, for a router that has none."""
        self._expire()
        return self._book.reports()

    def _tell(self, report: CrashReport) -> None:
        for listener in self._listeners:
            listener(report)

    def _take(self, report: CrashReport) -> bool:
        change = self._holds.add if report.pending else self._holds.lift
        for fingerprint in report.fingerprints:
            change(fingerprint, report.crash)
        return not report.pending and self._book.add(report)

    def _expire(self) -> None:
        if self._book.expire():
            self._judge()

    def _judge(self) -> None:
        crowds = self._book.fingerprint_sets
        self._suspects = frozenset().union(*crowds)
        self._quarantined = attribute_crashes(crowds, self._limit)
