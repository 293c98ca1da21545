"""
bergamotshed.control.check_schedule
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

When the holder of the control lease checks which engine next.
"""

__all__ = ('CheckSchedule',)

from collections.abc import Hashable, Mapping
from datetime import timedelta

from ..clock import Clock

MIN_AUDIT_INTERVAL = timedelta(seconds=30)
AUDITS_PER_SECOND = 5
ORDER_TIMEOUT = timedelta(seconds=30)


class CheckSchedule:
    """Schedules checks of engines: at once after a change, else rarely.

    Engines that match the configuration are checked periodically, at a
    total rate that does not grow with their number. An order that an engine
    accepted is repeated only after ``ORDER_TIMEOUT``, since loading a model
    takes time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._due_at: dict[str, float] = {}
        self._last_states: dict[str, Hashable] = {}
        self._ordered_at: dict[tuple[str, object], float] = {}

    def reset(self) -> None:
        """Make every engine due now and forget accepted orders."""
        self._due_at.clear()
        self._ordered_at.clear()

    def due_engines(self, engines: Mapping[str, Hashable]) -> list[str]:
        """Return the engines to check now.

        Engines that are not passed are dropped from the schedule.

        :param engines: the known state of each engine by its name; an
            engine whose state changed is due at once
        """
        now = self._clock.monotonic()
        self._due_at = {
            engine: self._due_at.get(engine, now)
            if self._last_states.get(engine) == state
            else now
            for engine, state in engines.items()
        }
        self._last_states = dict(engines)
        return [
            engine for engine, due_at in self._due_at.items() if due_at <= now
        ]

    def schedule_audit(self, engine: str) -> None:
        """Schedule the next check of an engine that needs no order."""
        interval = max(
            MIN_AUDIT_INTERVAL.total_seconds(),
            len(self._due_at) / AUDITS_PER_SECOND,
        )
        self._due_at[engine] = self._clock.monotonic() + interval
        self._ordered_at = {
            key: ordered_at
            for key, ordered_at in self._ordered_at.items()
            if key[0] != engine
        }

    def record_order(self, engine: str, order: object) -> None:
        """Record when an engine accepted an order."""
        self._ordered_at[engine, order] = self._clock.monotonic()

    def is_awaiting(self, engine: str, order: object) -> bool:
        """Return whether an accepted order may still be taking effect."""
        ordered_at = self._ordered_at.get((engine, order))
        if ordered_at is None:
            return False
        return (
            self._clock.monotonic() < ordered_at + ORDER_TIMEOUT.total_seconds()
        )
