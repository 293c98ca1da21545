"""
bergamotshed.control.check_schedule
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

When the lease's holder looks at which engine again.
"""

__all__ = ('CheckSchedule',)

from collections.abc import Hashable, Mapping
from datetime import timedelta

from ..clock import Clock

MIN_AUDIT_INTERVAL = timedelta(seconds=30)
AUDITS_PER_SECOND = 5
ORDER_TIMEOUT = timedelta(seconds=30)


class CheckSchedule:
    """Engines are looked at at once when something changed, else seldom.

    Engines that are as they should be are looked at in turn, at a rate that
    does not grow with their number. An order that an engine accepted is
    repeated only after a while, since loading takes its time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._due: dict[str, float] = {}
        self._marks: dict[str, Hashable] = {}
        self._ordered: dict[tuple[str, object], float] = {}

    def reset(self) -> None:
        """Make every engine due now."""
        self._due.clear()
        self._ordered.clear()

    def due_engines(self, engines: Mapping[str, Hashable]) -> list[str]:
        """Return the engines to look at now, and forget all others.

        :param engines: by name, a mark of what is believed of each; an
            engine whose mark changed is due at once
        """
        now = self._clock.monotonic()
        self._due = {
            engine: self._due.get(engine, now)
            if self._marks.get(engine) == mark
            else now
            for engine, mark in engines.items()
        }
        self._marks = dict(engines)
        return [engine for engine, when in self._due.items() if when <= now]

    def schedule_audit(self, engine: str) -> None:
        """Take note that an engine is as it should be."""
        pause = max(
            MIN_AUDIT_INTERVAL.total_seconds(),
            len(self._due) / AUDITS_PER_SECOND,
        )
        self._due[engine] = self._clock.monotonic() + pause
        self._ordered = {
            key: when for key, when in self._ordered.items() if key[0] != engine
        }

    def record_order(self, engine: str, order: object) -> None:
        """Take note of an accepted order."""
        self._ordered[engine, order] = self._clock.monotonic()

    def is_awaiting(self, engine: str, order: object) -> bool:
        """Tell whether an accepted order may still be taking effect."""
        when = self._ordered.get((engine, order))
        if when is None:
            return False
        return self._clock.monotonic() < when + ORDER_TIMEOUT.total_seconds()
