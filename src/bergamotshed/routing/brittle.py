"""
bergamotshed.routing.brittle
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Upstreams that fall over if they have to turn away too many requests, and the
room that each of them has for further ones.
"""

__all__ = ('BrittleUpstreams', 'UpstreamRooms', 'max_in_flight')

import math
from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

from ..clock import Clock
from ..upstreams.types import Incarnation, Instance

#: Requests that an upstream gets beyond its slots, as a fraction of the slots:
#: they start at once when a slot becomes free, while the release is still in
#: transit to the home.
OVERCOMMIT_SHARE = 0.25
#: Time after which an upstream from which nothing is heard counts as sound.
NOTICE_LIFETIME = timedelta(seconds=10)
#: Window in which rejections are counted.
WINDOW = timedelta(seconds=1)
#: Share of the rejections that an upstream bears that a home causes; requests
#: in transit may be rejected as well.
REJECTION_SHARE = 0.5
#: Time for which a new home grants half of the room: it does not know which
#: requests are in flight.
WARM_UP = timedelta(seconds=2)
WARM_UP_SHARE = 0.5
#: Room that an upstream is assumed to regain each second, as a share of its
#: slots.
REGAINED_SHARE = 0.1


class BrittleUpstreams:
    """Remembers which upstreams say that they are brittle."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._notices: dict[Incarnation, tuple[str, float, float]] = {}

    @property
    def services(self) -> frozenset[str]:
        """Return the services of brittle upstreams."""
        expired_at = self._clock.monotonic() - NOTICE_LIFETIME.total_seconds()
        return frozenset(
            service
            for service, _, heard_at in self._notices.values()
            if heard_at > expired_at
        )

    def record_answer(
        self, instance: Instance, tolerance: float | None
    ) -> bool:
        """Record what an upstream said; return whether that is new.

        :param tolerance: rejections in a second that it bears; ``None`` for any
        """
        _, known, _ = self._notices.pop(
            instance.incarnation, (instance.service, None, 0)
        )
        if tolerance is not None:
            now = self._clock.monotonic()
            self._notices[instance.incarnation] = (
                instance.service,
                tolerance,
                now,
            )
        return tolerance != known

    def tolerance_of(self, service: str) -> float | None:
        """Return the rejections that each upstream of a service bears in a
        second; ``None`` if it is not brittle.
        """
        if not self._notices:
            return None
        expired_at = self._clock.monotonic() - NOTICE_LIFETIME.total_seconds()
        return min(
            (
                tolerance
                for owner, tolerance, heard_at in self._notices.values()
                if owner == service and heard_at > expired_at
            ),
            default=None,
        )

    def forget_unlisted(self, listed: set[Incarnation]) -> None:
        """Forget the upstreams that are not listed."""
        for incarnation in self._notices.keys() - listed:
            del self._notices[incarnation]


@dataclass(slots=True)
class _Room:
    """What rejections show of one upstream.

    :ivar limit: requests that it took when it rejected one
    :ivar rejected_at: times of the rejections, in monotonic seconds
    """

    limit: float = math.inf
    rejected_at: deque[float] = field(default_factory=deque)


class UpstreamRooms:
    """Estimates how many requests each upstream of a service takes.

    Belongs to the home that grants the slots of the service.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._started_at = clock.monotonic()
        self._rooms: dict[str, _Room] = {}

    def record_rejection(self, name: str, in_flight: int) -> None:
        """Record that an upstream turned a request away.

        :param in_flight: other requests there
        """
        room = self._rooms.setdefault(name, _Room())
        room.limit = max(1, in_flight)
        room.rejected_at.append(self._clock.monotonic())

    def capacity(
        self, instance: Instance, tolerance: float | None, share: float
    ) -> int:
        """Return how many requests an upstream may have in flight.

        :param tolerance: rejections in a second that it bears; ``None`` for any
        :param share: part of the routers whose requests this home counts
        """
        if tolerance is None:
            return max_in_flight(instance.slots)
        room = self._rooms.get(instance.name, _Room())
        if self._count_recent(room) >= max(
            1, tolerance * REJECTION_SHARE * share
        ):
            return 0
        limit = self._limit(instance, room) * share
        now = self._clock.monotonic()
        if now - self._started_at < WARM_UP.total_seconds():
            limit *= WARM_UP_SHARE
        return max(1, int(limit))

    def _limit(self, instance: Instance, room: _Room) -> float:
        if not room.rejected_at:
            return instance.slots
        since_s = self._clock.monotonic() - room.rejected_at[-1]
        regained = since_s * instance.slots * REGAINED_SHARE
        return min(instance.slots, room.limit + regained)

    def _count_recent(self, room: _Room) -> int:
        since = self._clock.monotonic() - WINDOW.total_seconds()
        while len(room.rejected_at) > 1 and room.rejected_at[0] < since:
            room.rejected_at.popleft()
        return sum(rejected_at >= since for rejected_at in room.rejected_at)


def max_in_flight(slots: int) -> int:
    """Return the maximum number of requests in flight on an upstream."""
    return slots + math.ceil(slots * OVERCOMMIT_SHARE)
