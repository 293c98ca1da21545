"""
tests.timeline
~~~~~~~~~~~~~~

The load of a service's engines over time, computed from the engines' own
records, and every breach of the load bound with its cause and duration.
"""

__all__ = ('Breach', 'LoadTimeline')

import math
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from statistics import quantiles
from typing import Any

MIN_MEAN_LOAD = 1
PERCENTILES = 100


@dataclass(frozen=True, slots=True)
class Breach:
    """A period in which an engine had more requests than the bound.

    :ivar seconds: its duration
    :ivar excess: maximum number of requests above the bound
    :ivar cause: ``start`` if a new request exceeded the bound, ``end`` if the
        end of other requests lowered the bound
    """

    seconds: float
    excess: int
    cause: str


@dataclass(frozen=True, slots=True)
class _Span:
    seconds: float
    total_load: int
    max_load: int
    cause: str


class LoadTimeline:
    """The load of one service over time.

    :param engines: names of its engines
    :param runs: the records of their runs, each with the name of its engine
    :param load_bound: the load bound of the service
    """

    def __init__(
        self,
        engines: Iterable[str],
        runs: Iterable[dict[str, Any]],
        load_bound: float,
    ) -> None:
        self._engines = frozenset(engines)
        self._load_bound = load_bound
        self._spans = list(self._compute_spans(runs))

    @property
    def seconds(self) -> float:
        """Return the duration of the timeline in seconds."""
        return sum(span.seconds for span in self._spans)

    @property
    def breaches(self) -> list[Breach]:
        """Return each uninterrupted period above the bound."""
        breaches: list[Breach] = []
        was_above = False
        for span in self._spans:
            excess = span.max_load - self._bound(span.total_load)
            if excess > 0 and was_above:
                last = breaches.pop()
                breaches.append(
                    Breach(
                        last.seconds + span.seconds,
                        max(last.excess, excess),
                        last.cause,
                    )
                )
            elif excess > 0:
                breaches.append(Breach(span.seconds, excess, span.cause))
            was_above = excess > 0
        return breaches

    def max_over_mean(self) -> tuple[float, float]:
        """Return p50 and p99 over time of the ratio of maximum to mean load.

        Periods with a mean load below one are left out.
        """
        ratios: list[float] = []
        for span in self._spans:
            mean = span.total_load / len(self._engines)
            if mean >= MIN_MEAN_LOAD:
                weight = max(1, round(span.seconds * 1000))
                ratios.extend([span.max_load / mean] * weight)
        if len(ratios) < PERCENTILES:
            return 0, 0
        cuts = quantiles(ratios, n=PERCENTILES)
        return cuts[PERCENTILES // 2 - 1], cuts[-1]

    def _bound(self, total_load: int) -> int:
        return math.ceil(self._load_bound * total_load / len(self._engines))

    def _compute_spans(self, runs: Iterable[dict[str, Any]]) -> Iterator[_Span]:
        changes: list[tuple[float, int, str]] = []
        for run in runs:
            if run['engine'] in self._engines and 'ended_at' in run:
                changes.append((run['time'], 1, run['engine']))
                changes.append((run['ended_at'], -1, run['engine']))
        changes.sort()
        counts: Counter[str] = Counter()
        for number, (time, change, engine) in enumerate(changes[:-1]):
            counts[engine] += change
            yield _Span(
                seconds=changes[number + 1][0] - time,
                total_load=counts.total(),
                max_load=max(counts.values()),
                cause='start' if change > 0 else 'end',
            )
