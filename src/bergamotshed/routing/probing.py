"""
bergamotshed.routing.probing
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

When this router probes a suspect upstream, and whether it does.
"""

__all__ = ('ProbeSchedule', 'probers_of')

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from .hashing import rank, stable_hash
from .health import UpstreamHealth

#: Routers that probe one suspect.
PROBERS = 3

#: First and longest pause between two probes of a suspect.
PROBE_FIRST = timedelta(milliseconds=250)
PROBE_LONGEST = timedelta(seconds=2)


def probers_of(upstream: str, routers: Sequence[str]) -> list[str]:
    """Return the routers that probe an upstream while it is suspect."""
    return rank(stable_hash('probe', upstream), routers)[:PROBERS]


@dataclass(slots=True)
class _Turn:
    """The next probe, in monotonic seconds, and the pause after it."""

    at: float
    pause: timedelta = PROBE_FIRST


class ProbeSchedule:
    """Backs off while a suspect stays silent.

    :param node: this router's name
    """

    def __init__(self, node: str, health: UpstreamHealth, clock: Clock) -> None:
        self._node = node
        self._health = health
        self._clock = clock
        self._turns: dict[str, _Turn] = {}

    def due(self, routers: Sequence[str]) -> list[str]:
        """Return the suspects that this router should probe now.

        Whoever has own evidence probes too, as its own path may be the
        broken one.
        """
        now = self._clock.monotonic()
        suspicions = self._health.suspicions
        for gone in self._turns.keys() - suspicions.keys():
            del self._turns[gone]
        probed = []
        for name, suspicion in suspicions.items():
            turn = self._turns.setdefault(name, _Turn(now))
            if turn.at > now:
                continue
            turn.at = now + turn.pause.total_seconds()
            turn.pause = min(2 * turn.pause, PROBE_LONGEST)
            if suspicion.own or self._node in probers_of(name, routers):
                probed.append(name)
        return probed
