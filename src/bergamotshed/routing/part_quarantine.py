"""
bergamotshed.routing.part_quarantine
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Finds the parts of requests that crash each upstream that answers a request with
them, without refusing requests that share only the other parts.
"""

__all__ = ('AnswerListener', 'PartQuarantine')

from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta

from ..clock import Clock
from .crashes import CrashReport
from .part_sightings import PartSightings

#: Successive crashes without an answer in between that make a part suspect.
DEFAULT_CRASH_LIMIT = 3
#: Successive crashes that are enough if several upstreams crashed each time.
MIN_SUCCESSIVE_CRASHES = 2
#: Successive crashes without another suspect that show that a part does not
#: depend on that one.
MIN_INDEPENDENT_CRASHES = 2
#: Time from the last crash until one request with the part is let through, and
#: the factor by which it grows with each trial that crashes an upstream.
FIRST_TRIAL_DELAY = timedelta(seconds=8)
TRIAL_DELAY_FACTOR = 4

#: Receives, for each part that an answer cleared, when the last crash that it
#: was cleared of was noticed, and the time of the answer; in monotonic seconds.
AnswerListener = Callable[[Mapping[int, float], float], None]


class PartQuarantine:
    """Judges parts of requests by the crashes at which they were in flight.

    The judgement depends only on the reports and the answers, so routers that
    know the same ones agree.

    :param is_home: returns whether this router is the one that lets trials of
        a part through
    :param limit: successive crashes that make a part suspect
    """

    def __init__(
        self,
        clock: Clock,
        is_home: Callable[[int], bool],
        limit: int = DEFAULT_CRASH_LIMIT,
    ) -> None:
        self._clock = clock
        self._is_home = is_home
        self._limit = limit
        self._sightings = PartSightings(clock)
        self._trials: dict[int, float] = {}
        self._suspects: frozenset[int] = frozenset()
        self._listeners: list[AnswerListener] = []

    @property
    def suspects(self) -> frozenset[int]:
        """Return the parts that may have caused all their crashes."""
        if self._sightings.expire():
            self._update(self._suspects)
        return self._suspects

    def crash_count(self, part: int) -> int:
        """Return how many crashes a part is not cleared of."""
        return len(self._sightings.crashes(part))

    def add_listener(self, listener: AnswerListener) -> None:
        """Call the listener when an answer at this router clears parts."""
        self._listeners.append(listener)

    def record_crash(self, report: CrashReport) -> bool:
        """Add the parts of a report; return whether any was new."""
        is_new = self._sightings.add(report)
        self._update(sighting.part for sighting in report.parts)
        return is_new

    def record_answer(self, parts: Iterable[int], answered_at: float) -> None:
        """Record that an upstream of this router has answered a request.

        :param answered_at: in monotonic seconds
        """
        cleared = self.clear(parts, answered_at)
        if cleared:
            for listener in self._listeners:
                listener(cleared, answered_at)

    def clear(
        self, parts: Iterable[int], answered_at: float
    ) -> dict[int, float]:
        """Clear parts of the crashes before an answer.

        :param answered_at: in monotonic seconds
        :return: for each part that was cleared of a crash, when the last of
            these was noticed, in monotonic seconds
        """
        cleared = {}
        for part in self._sightings.parts & set(parts):
            last_cleared = self._sightings.clear(part, answered_at)
            if last_cleared is not None:
                cleared[part] = last_cleared
                self._trials.pop(part, None)
        self._update(cleared)
        return cleared

    def blames(self, parts: Iterable[int]) -> bool:
        """Return whether a request with these parts would crash an upstream."""
        return bool(self._blamed(parts))

    def admits(self, parts: Iterable[int]) -> bool:
        """Return whether a request may run; one that is blamed may be let
        through as a trial.
        """
        blamed = self._blamed(parts)
        if not all(map(self._is_trial_due, blamed)):
            return False
        self._trials.update(dict.fromkeys(blamed, self._clock.monotonic()))
        return True

    def reports(self) -> tuple[CrashReport, ...]:
        """Return a report of each crash that some part is not cleared of."""
        return self._sightings.reports()

    def _blamed(self, parts: Iterable[int]) -> list[int]:
        """Return the suspects among the parts of one request.

        A suspect that is always in flight together with one that the request
        lacks is left out: it may only share requests with that one.
        """
        present = self.suspects.intersection(parts)
        absent = self._suspects - present
        return [
            part
            for part in present
            if not any(self._depends_on(part, other) for other in absent)
        ]

    def _depends_on(self, part: int, other: int) -> bool:
        """Return whether a part was hardly at any crash without another."""
        own = set(self._sightings.crashes(part))
        independent = own.difference(self._sightings.crashes(other))
        if independent == own:
            return False
        count = self._sightings.count_successive(part, independent)
        return count < MIN_INDEPENDENT_CRASHES

    def _is_trial_due(self, part: int) -> bool:
        excess = max(0, self._sightings.count_successive(part) - self._limit)
        delay_s = FIRST_TRIAL_DELAY.total_seconds() * TRIAL_DELAY_FACTOR**excess
        last_run_at = max(
            self._sightings.last_crash_at(part), self._trials.get(part, 0)
        )
        is_due = self._clock.monotonic() >= last_run_at + delay_s
        return is_due and self._is_home(part)

    def _update(self, parts: Iterable[int]) -> None:
        """Judge the parts whose crashes have changed."""
        judged = {part: self._is_suspect(part) for part in parts}
        new = {part for part, is_suspect in judged.items() if is_suspect}
        self._suspects = (self._suspects - judged.keys()) | new

    def _is_suspect(self, part: int) -> bool:
        """Return whether a part was at too many crashes.

        Crashes at the same time count half, as they may have a common cause.
        """
        total = self.crash_count(part)
        if total < self._limit:
            return False
        successive = self._sightings.count_successive(part)
        if successive < MIN_SUCCESSIVE_CRASHES:
            return False
        return successive + total >= 2 * self._limit
