"""
bergamotshed.routing.fairshare
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Weighted max-min fairness over a number of slots.
"""

__all__ = ('SlotShares', 'fair_level')

import math
from collections.abc import Mapping
from dataclasses import dataclass

from ..clock import Clock

AVERAGING_TIME_S = 10.0
LEVEL_LIFETIME_S = 0.05
NEGLIGIBLE_SLOTS = 0.01
RESERVE_DEVIATIONS = 2.0


def fair_level(
    demands: Mapping[str, float], weights: Mapping[str, float], slots: float
) -> float:
    """Return the slots for each unit of weight that max-min fairness gives.

    Whoever demands less than the level times its weight gets all of it; the
    others get the level. It is infinite if the slots suffice for all.

    :param weights: by name; 1 for names that are not in it
    """
    left = slots
    weight_left = sum(weights.get(name, 1) for name in demands)
    by_need = sorted(
        (demand / weights.get(name, 1), name)
        for name, demand in demands.items()
    )
    for need, name in by_need:
        if need * weight_left >= left:
            return left / weight_left
        left -= demands[name]
        weight_left -= weights.get(name, 1)
    return math.inf


class SlotShares:
    """Watches what each organisation holds and asks for.

    Averages over some seconds tell a surge from a moment's crowding of an
    organisation that asks for little.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._held: dict[str, _Held] = {}
        self._level = math.inf
        self._total: float = 0
        self._expires = -math.inf

    def record_slots(self, organisation: str, slots: int) -> None:
        """Note how many slots an organisation holds from now on."""
        now = self._clock.monotonic()
        known = self._held.setdefault(organisation, _Held(now))
        known.average = known.average_at(now)
        known.updated = now
        known.slots = slots

    def refresh(
        self,
        weights: Mapping[str, float],
        waiting: Mapping[str, int],
        slots: float,
    ) -> None:
        """Work the shares out again if the last time is a moment ago.

        :param weights: share of each organisation
        :param waiting: requests that wait, by organisation
        :param slots: what there is to share
        """
        now = self._clock.monotonic()
        if now < self._expires:
            return
        self._prune(now)
        averages = {
            name: known.average_at(now) for name, known in self._held.items()
        }
        self._total = sum(averages.values())
        for name, count in waiting.items():
            averages[name] = averages.get(name, 0) + count
        self._level = fair_level(averages, weights, slots)
        self._expires = now + LEVEL_LIFETIME_S

    def reserve_for_others(self, organisation: str) -> int:
        """Return the free slots that others may need in the next moment.

        What they hold varies by the square root of its average.
        """
        average = self._average(organisation)
        others = max(0, self._total - average)
        return math.ceil(RESERVE_DEVIATIONS * math.sqrt(others))

    def is_below_level(
        self, organisation: str, weight: float, waiting: int
    ) -> bool:
        """Tell whether an organisation asks for less than its fair share."""
        demand = self._average(organisation) + waiting
        return demand <= self._level * weight

    def _average(self, organisation: str) -> float:
        known = self._held.get(organisation)
        if known is None:
            return 0
        return known.average_at(self._clock.monotonic())

    def _prune(self, now: float) -> None:
        idle = [
            name
            for name, known in self._held.items()
            if not known.slots and known.average_at(now) < NEGLIGIBLE_SLOTS
        ]
        for name in idle:
            self._held.pop(name)


@dataclass(slots=True)
class _Held:
    """The average until ``updated``, and the slots held since."""

    updated: float
    slots: int = 0
    average: float = 0

    def average_at(self, now: float) -> float:
        """Return the average with the time since the update counted in."""
        kept = math.exp((self.updated - now) / AVERAGING_TIME_S)
        return self.slots + (self.average - self.slots) * kept
