"""
bergamotshed.upstreams.version_history
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The software versions that the upstreams of each service have, or had lately.
"""

__all__ = ('Release', 'VersionHistory')

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from .types import Instance

#: Former versions that are remembered; the oldest are dropped first.
MAX_FORMER_VERSIONS = 4096


@dataclass(frozen=True, slots=True)
class Release:
    """A service and a version of its upstreams' software."""

    service: str
    version: str


class VersionHistory:
    """Remembers until when upstreams of each version were listed.

    :ivar confirmed_at: boot time at which the list was last known to be
        current; minus infinity before the first time
    :ivar known_since: boot time from which on all versions are known, by the
        lists or by what was stored of earlier ones; infinity before the first
        list
    """

    def __init__(self, clock: Clock) -> None:
        self.confirmed_at = -math.inf
        self.known_since = math.inf
        self._clock = clock
        self._listed: frozenset[Release] = frozenset()
        self._ended_at: dict[Release, float] = {}

    @property
    def listed(self) -> frozenset[Release]:
        """Return the releases of the listed upstreams."""
        return self._listed

    @property
    def ended_at(self) -> Mapping[Release, float]:
        """Return until when former releases were listed, in boot time."""
        return self._ended_at

    def update(self, instances: Iterable[Instance]) -> None:
        """Replace the listed upstreams."""
        listed = frozenset(
            Release(instance.service, instance.version)
            for instance in instances
        )
        for release in self._listed - listed:
            self.record_former(release, self._clock.boottime())
        self._listed = listed

    def record_former(self, release: Release, ended_at: float) -> None:
        """Record until when a release was listed, in boot time."""
        self._ended_at[release] = max(
            ended_at, self._ended_at.pop(release, -math.inf)
        )
        while len(self._ended_at) > MAX_FORMER_VERSIONS:
            del self._ended_at[next(iter(self._ended_at))]

    def extend(self, known_since: float) -> None:
        """Record that all earlier versions since a boot time were added."""
        self.known_since = min(self.known_since, known_since)

    def confirm(self, sent_at: float) -> None:
        """Record that the list was current at a boot time or later."""
        self.known_since = min(self.known_since, sent_at)
        self.confirmed_at = max(self.confirmed_at, sent_at)

    def recent_versions(self, service: str, within: timedelta) -> set[str]:
        """Return the versions of a service that are listed, or were listed
        within a time.
        """
        since = self._clock.boottime() - within.total_seconds()
        former = {
            release
            for release, ended_at in self._ended_at.items()
            if ended_at >= since
        }
        return {
            release.version
            for release in self._listed | former
            if release.service == service
        }
