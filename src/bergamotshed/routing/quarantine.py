"""
bergamotshed.routing.quarantine
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Finds the request that crashes each upstream that runs it, without refusing
those that merely ran at the same time.
"""

__all__ = ('Crash', 'CrashReport', 'FingerprintStatus', 'Quarantine')

from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from datetime import timedelta
from enum import Enum

from ..clock import Clock
from .attribution import attribute_crashes
from .crashes import Crash, CrashReport, CrashTable, PartSighting
from .fingerprint_holds import FingerprintHolds
from .part_quarantine import PartQuarantine

DEFAULT_CRASH_LIMIT = 2
DEFAULT_TTL = timedelta(hours=1)
#: Fingerprints of answered requests that are kept.
MAX_ANSWERED = 4096


class FingerprintStatus(Enum):
    """What the crashes indicate about a fingerprint."""

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    QUARANTINED = 'quarantined'


class Quarantine:
    """Judges requests by the crashes at which they were in flight: as a whole,
    by their fingerprints, and by their parts.

    The result depends only on the set of crash reports and on the requests that
    were answered here since, so routers with the same ones agree, whatever the
    order in which they arrived.

    :param limit: distinct crashes that quarantine a fingerprint
    :param ttl: how long the crashes of a fingerprint are remembered
    :ivar parts: judges the parts of requests
    """

    def __init__(
        self,
        clock: Clock,
        limit: int = DEFAULT_CRASH_LIMIT,
        ttl: timedelta = DEFAULT_TTL,
        parts: PartQuarantine | None = None,
    ) -> None:
        self.parts = parts or PartQuarantine(clock, lambda part: True)
        self._clock = clock
        self._limit = limit
        self._crashes = CrashTable(clock, ttl)
        self._holds = FingerprintHolds(clock)
        self._answered: OrderedDict[int, None] = OrderedDict()
        self._suspects: frozenset[int] = frozenset()
        self._quarantined: frozenset[int] = frozenset()
        self._listeners: list[Callable[[CrashReport], None]] = []

    @property
    def quarantined(self) -> frozenset[int]:
        """Return the fingerprints that are not run any more."""
        self._expire()
        return self._quarantined

    def crashed_by(self, fingerprint: int) -> tuple[str, ...]:
        """Return the upstream of each crash at which a request was in
        flight.
        """
        if fingerprint not in self._suspects:
            return ()
        return self._crashes.crashed_by(fingerprint)

    def add_listener(self, listener: Callable[[CrashReport], None]) -> None:
        """Call the listener with each report of this router."""
        self._listeners.append(listener)

    def status(self, fingerprint: int) -> FingerprintStatus:
        """Return the status of a fingerprint."""
        self._expire()
        if fingerprint in self._quarantined:
            return FingerprintStatus.QUARANTINED
        if fingerprint in self._suspects:
            return FingerprintStatus.SUSPECT
        return FingerprintStatus.CLEAR

    def is_held(self, fingerprint: int) -> bool:
        """Return whether another router is investigating the request."""
        return self._holds.is_held(fingerprint)

    def is_crash_known(self, crash: Crash) -> bool:
        """Return whether the crash of an upstream is confirmed."""
        return self._crashes.is_known(crash)

    def record_crash(
        self,
        fingerprint: int,
        crash: Crash,
        started_at: float,
        cut_at: float,
        parts: Iterable[int] = (),
    ) -> FingerprintStatus:
        """Record that a request was in flight at a crash.

        A request that was sent after others had noticed the crash found the
        upstream already down and can't have caused it.

        :param started_at: when it was sent, in monotonic seconds
        :param cut_at: when it was cut, in monotonic seconds
        :param parts: its parts, unless the upstream had begun to answer
        """
        if started_at > self._crashes.first_cut_at(crash):
            return self.status(fingerprint)
        now = self._clock.monotonic()
        sent_age = timedelta(seconds=now - started_at)
        report = CrashReport(
            crash,
            (fingerprint,),
            timedelta(seconds=now - cut_at),
            parts=tuple(PartSighting(part, sent_age) for part in parts),
        )
        if self.merge((report,)):
            _notify(self._listeners, report)
        return self.status(fingerprint)

    def record_answer(self, fingerprint: int) -> None:
        """Record that a request was answered, even if by an error.

        If it was in flight at crashes before, it only ran beside the request
        that causes them, and explains none of them.
        """
        if self.status(fingerprint) is FingerprintStatus.CLEAR:
            return
        if fingerprint not in self._answered:
            self._answered[fingerprint] = None
            if len(self._answered) > MAX_ANSWERED:
                self._answered.popitem(last=False)
            self._update()

    @contextmanager
    def record_possible_crash(
        self, fingerprint: int, crash: Crash, cut_at: float
    ) -> Iterator[None]:
        """Treat a crash as possible while the context is open.

        :param cut_at: when a request was cut, in monotonic seconds
        """
        with self._crashes.investigating(crash, cut_at):
            _notify(
                self._listeners,
                CrashReport(crash, (fingerprint,), pending=True),
            )
            yield

    def merge(self, reports: Iterable[CrashReport]) -> int:
        """Merge reports of other routers; return how many were new."""
        new_count = sum(self._merge_one(report) for report in reports)
        if new_count:
            self._update()
        return new_count

    def export(self) -> tuple[CrashReport, ...]:
        """Return all reports, for a router that has none."""
        self._expire()
        return (*self._crashes.reports(), *self.parts.reports())

    def _merge_one(self, report: CrashReport) -> bool:
        change = self._holds.add if report.pending else self._holds.lift
        for fingerprint in report.fingerprints:
            change(fingerprint, report.crash)
        if report.pending:
            return False
        has_new_part = self.parts.record_crash(report)
        return self._crashes.add(report) or has_new_part

    def _expire(self) -> None:
        if self._crashes.expire():
            self._update()

    def _update(self) -> None:
        crashes = self._crashes.fingerprint_sets
        self._suspects = frozenset().union(*crashes)
        answered = self._answered.keys()
        self._quarantined = attribute_crashes(
            [fingerprints - answered for fingerprints in crashes], self._limit
        )


def _notify(
    listeners: Iterable[Callable[[CrashReport], None]], report: CrashReport
) -> None:
    for listener in listeners:
        listener(report)
