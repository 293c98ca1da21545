"""
bergamotshed.routing.part_sightings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which parts of requests were in flight at which crashes of upstreams, and have
not been answered since.
"""

__all__ = ('ANSWER_START', 'PartSightings', 'select_parts')


from collections import defaultdict
from collections.abc import Collection, Iterable, Sequence
from collections.abc import Set as AbstractSet
from datetime import timedelta
from typing import TypeVar

from ..clock import Clock
from .crashes import Crash, CrashReport, PartSighting

#: Time for which a crash is remembered.
RETENTION = timedelta(hours=1)
MAX_CRASHES = 100
#: Parts of one request that are followed, which bounds the size of reports.
MAX_PARTS = 64
#: Time from the first event of an answer within which a crash may still be due
#: to the request.
ANSWER_START = timedelta(milliseconds=250)

_T = TypeVar('_T')


def select_parts(parts: Sequence[_T]) -> Sequence[_T]:
    """Return the parts of a request that are followed: of many parts, the first
    and the last ones.
    """
    if len(parts) <= MAX_PARTS:
        return parts
    half = MAX_PARTS // 2
    return (*parts[:half], *parts[-half:])


class PartSightings:
    """The crashes of each part.

    An answer clears a part of all crashes before it: a part that crashes
    upstreams is never answered.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._noticed_at: dict[Crash, float] = {}
        # When the last request with a part that was in flight was sent.
        self._sent_at: defaultdict[int, dict[Crash, float]] = defaultdict(dict)

    @property
    def parts(self) -> AbstractSet[int]:
        """Return the parts that were in flight at a crash."""
        return self._sent_at.keys()

    def crashes(self, part: int) -> Collection[Crash]:
        """Return the crashes that a part is not cleared of."""
        return self._sent_at[part].keys() if part in self._sent_at else ()

    def last_crash_at(self, part: int) -> float:
        """Return when its last crash was noticed, in monotonic seconds."""
        noticed = (self._noticed_at[crash] for crash in self.crashes(part))
        return max(noticed, default=float('-inf'))

    def add(self, report: CrashReport) -> bool:
        """Add the parts of a report; return whether any was new."""
        if not report.parts:
            return False
        now = self._clock.monotonic()
        noticed_at = now - report.age.total_seconds()
        known_since = self._noticed_at.get(report.crash, noticed_at)
        self._noticed_at[report.crash] = min(known_since, noticed_at)
        is_new = False
        for sighting in report.parts:
            sent_at = now - sighting.sent_age.total_seconds()
            crashes = self._sent_at[sighting.part]
            is_new = is_new or report.crash not in crashes
            known_sent_at = crashes.get(report.crash, sent_at)
            crashes[report.crash] = max(sent_at, known_sent_at)
        return is_new

    def clear(self, part: int, answered_at: float) -> float | None:
        """Clear a part of the crashes before an answer.

        :param answered_at: in monotonic seconds
        :return: when the last of these crashes was noticed, in monotonic
            seconds; ``None`` if there was none
        """
        cleared = {
            crash: self._noticed_at[crash]
            for crash in self.crashes(part)
            if self._noticed_at[crash] <= answered_at
        }
        for crash in cleared:
            self._sent_at[part].pop(crash)
        if cleared and not self._sent_at[part]:
            self._sent_at.pop(part)
        return max(cleared.values(), default=None)

    def count_successive(
        self, part: int, crashes: Iterable[Crash] | None = None
    ) -> int:
        """Count crashes of a part, each of a request sent after the one before.

        Upstreams that fail together count once, whatever they were running.

        :param crashes: some of its crashes; all by default
        """
        if crashes is None:
            crashes = self.crashes(part)
        count = 0
        previous = float('-inf')
        sent_at = self._sent_at[part]
        for crash in sorted(crashes, key=self._noticed_at.__getitem__):
            if sent_at[crash] > previous:
                count += 1
                previous = self._noticed_at[crash]
        return count

    def expire(self) -> bool:
        """Drop old crashes; return whether there were any."""
        horizon = self._clock.monotonic() - RETENTION.total_seconds()
        excess = len(self._noticed_at) - MAX_CRASHES
        outdated = [
            crash
            for index, (crash, noticed_at) in enumerate(
                self._noticed_at.items()
            )
            if index < excess or noticed_at < horizon
        ]
        for crash in outdated:
            self._noticed_at.pop(crash)
            self._drop(crash)
        return bool(outdated)

    def reports(self) -> tuple[CrashReport, ...]:
        """Return a report of each crash that some part is not cleared of."""
        now = self._clock.monotonic()
        sightings: defaultdict[Crash, list[PartSighting]] = defaultdict(list)
        for part, sent_at in self._sent_at.items():
            for crash, last_sent_at in sent_at.items():
                sent_age = timedelta(seconds=now - last_sent_at)
                sightings[crash].append(PartSighting(part, sent_age))
        return tuple(
            CrashReport(
                noticed,
                (),
                timedelta(seconds=now - self._noticed_at[noticed]),
                parts=tuple(parts),
            )
            for noticed, parts in sightings.items()
        )

    def _drop(self, crash: Crash) -> None:
        for part in list(self._sent_at):
            self._sent_at[part].pop(crash, None)
            if not self._sent_at[part]:
                self._sent_at.pop(part)
