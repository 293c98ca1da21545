"""
bergamotshed.routing.probing
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which suspect upstreams this router probes, and when.
"""

__all__ = ('ProbeSchedule', 'probers_of')

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from .hashing import rank, stable_hash
from .health import UpstreamHealth

#: Routers that probe one suspect.
PROBERS_PER_SUSPECT = 3

#: First and longest pause between two probes of a suspect.
FIRST_PROBE_PAUSE = timedelta(milliseconds=250)
MAX_PROBE_PAUSE = timedelta(seconds=2)


def probers_of(upstream: str, routers: Sequence[str]) -> list[str]:
    """Return the routers that probe an upstream while it is suspect."""
    return rank(stable_hash('probe', upstream), routers)[:PROBERS_PER_SUSPECT]


@dataclass(slots=True)
class _NextProbe:
    """The next probe of a suspect.

    :ivar time: monotonic seconds
    :ivar pause: time until the probe after it
    """

    time: float
    pause: timedelta = FIRST_PROBE_PAUSE


class ProbeSchedule:
    """Schedules probes of suspects with exponential backoff.

    :param node: this router's name
    """

    def __init__(self, node: str, health: UpstreamHealth, clock: Clock) -> None:
        self._node = node
        self._health = health
        self._clock = clock
        self._probes: dict[str, _NextProbe] = {}

    def due(self, routers: Sequence[str]) -> list[str]:
        """Return the suspects that this router should probe now.

        A router with evidence of its own probes too, as the fault may lie on
        its path to the upstream.
        """
        now = self._clock.monotonic()
        suspicions = self._health.suspicions
        for cleared in self._probes.keys() - suspicions.keys():
            del self._probes[cleared]
        due = []
        for name, suspicion in suspicions.items():
            probe = self._probes.setdefault(name, _NextProbe(now))
            if probe.time > now:
                continue
            probe.time = now + probe.pause.total_seconds()
            probe.pause = min(2 * probe.pause, MAX_PROBE_PAUSE)
            if suspicion.own or self._node in probers_of(name, routers):
                due.append(name)
        return due
