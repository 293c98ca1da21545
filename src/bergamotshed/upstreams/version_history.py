"""
bergamotshed.upstreams.version_history
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The software versions that the upstreams of each service have, or had lately.
"""

__all__ = ('VersionHistory',)

import math
from collections.abc import Iterable
from datetime import timedelta

from ..clock import Clock
from .types import Instance

#: Former versions that are remembered; the oldest are dropped first.
MAX_FORMER_VERSIONS = 4096

#: A service and a version.
_Release = tuple[str, str]


class VersionHistory:
    """Remembers until when upstreams of each version were listed.

    :ivar confirmed_at: boot time at which the list was last known to be
        current; minus infinity before the first time
    :ivar followed_since: boot time of the first list; infinity before it
    """

    def __init__(self, clock: Clock) -> None:
        self.confirmed_at = -math.inf
        self.followed_since = math.inf
        self._clock = clock
        self._listed: frozenset[_Release] = frozenset()
        self._ended_at: dict[_Release, float] = {}

    def update(self, instances: Iterable[Instance]) -> None:
        """Replace the listed upstreams."""
        listed = frozenset(
            (instance.service, instance.version) for instance in instances
        )
        now = self._clock.boottime()
        for release in self._listed - listed:
            self._ended_at.pop(release, None)
            self._ended_at[release] = now
        self._listed = listed
        while len(self._ended_at) > MAX_FORMER_VERSIONS:
            del self._ended_at[next(iter(self._ended_at))]

    def confirm(self, sent_at: float) -> None:
        """Record that the list was current at a boot time or later."""
        self.followed_since = min(self.followed_since, sent_at)
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
            version
            for owner, version in self._listed | former
            if owner == service
        }
