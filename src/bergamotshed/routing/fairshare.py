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

    A demand below the level times its weight is met in full; the others get
    that product. The level is infinite if the slots suffice for all.

    :param weights: weight by name; names without one have 1
    """
    slots_left = slots
    weight_left = sum(weights.get(name, 1) for name in demands)
    needs = sorted(
        (demand / weights.get(name, 1), name)
        for name, demand in demands.items()
    )
    for need, name in needs:
        if need * weight_left >= slots_left:
            return slots_left / weight_left
        slots_left -= demands[name]
        weight_left -= weights.get(name, 1)
    return math.inf


class SlotShares:
    """Tracks what each organisation holds and demands.

    Averages over some seconds tell a lasting surge from a short burst of an
    organisation with a small demand.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._averages: dict[str, _SlotAverage] = {}
        self._level = math.inf
        self._total: float = 0
        self._expires_at = -math.inf

    def record_slots(self, organisation: str, slots: int) -> None:
        """Record how many slots an organisation holds from now on."""
        now = self._clock.monotonic()
        held = self._averages.setdefault(organisation, _SlotAverage(now))
        held.average = held.average_at(now)
        held.updated_at = now
        held.slots = slots

    def refresh(
        self,
        weights: Mapping[str, float],
        waiting: Mapping[str, int],
        slots: float,
    ) -> None:
        """Compute the fair level again, unless the last one is still fresh.

        :param weights: share of each organisation
        :param waiting: number of waiting requests by organisation
        :param slots: number of slots to share
        """
        now = self._clock.monotonic()
        if now < self._expires_at:
            return
        self._prune(now)
        averages = {
            name: held.average_at(now) for name, held in self._averages.items()
        }
        self._total = sum(averages.values())
        for name, count in waiting.items():
            averages[name] = averages.get(name, 0) + count
        self._level = fair_level(averages, weights, slots)
        self._expires_at = now + LEVEL_LIFETIME_S

    def reserve_for_others(self, organisation: str) -> int:
        """Return the free slots that others may need shortly.

        The standard deviation of the slots that they hold is the square
        root of the average.
        """
        average = self._average(organisation)
        others = max(0, self._total - average)
        return math.ceil(RESERVE_DEVIATIONS * math.sqrt(others))

    def is_below_level(
        self, organisation: str, weight: float, waiting: int
    ) -> bool:
        """Return whether the demand is at most the fair share."""
        demand = self._average(organisation) + waiting
        return demand <= self._level * weight

    def _average(self, organisation: str) -> float:
        held = self._averages.get(organisation)
        if held is None:
            return 0
        return held.average_at(self._clock.monotonic())

    def _prune(self, now: float) -> None:
        idle = [
            name
            for name, held in self._averages.items()
            if not held.slots and held.average_at(now) < NEGLIGIBLE_SLOTS
        ]
        for name in idle:
            self._averages.pop(name)


@dataclass(slots=True)
class _SlotAverage:
    """Average of the slots held until ``updated_at``, and the slots since."""

    updated_at: float
    slots: int = 0
    average: float = 0

    def average_at(self, now: float) -> float:
        """Return the average, including the time since the update."""
        decay = math.exp((self.updated_at - now) / AVERAGING_TIME_S)
        return self.slots + (self.average - self.slots) * decay
