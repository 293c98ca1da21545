"""
bergamotshed.forwarding.crash_watch
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Follows one request for signs that it crashes upstreams.
"""

__all__ = ('CrashWatch',)

from dataclasses import replace

from ..clock import Clock
from ..routing.part_sightings import ANSWER_START
from ..upstreams.types import Instance
from .crash_detector import CrashDetector, request_traits
from .types import RoutedRequest


class CrashWatch:
    """Reports the attempts of one request to the crash detector."""

    def __init__(
        self, detector: CrashDetector, request: RoutedRequest, clock: Clock
    ) -> None:
        self._detector = detector
        self._clock = clock
        self._traits = request_traits(request)
        self._first_event_at: float | None = None

    def admits(self) -> bool:
        """Return whether the request may be sent to an upstream."""
        return self._detector.admits(self._traits)

    def start(self) -> None:
        """Begin an attempt."""
        self._first_event_at = None

    def record_event(self) -> None:
        """Record that the upstream has sent an event."""
        if self._first_event_at is None:
            self._first_event_at = self._clock.monotonic()

    def record_answer(self, *, is_success: bool) -> None:
        """Record that the request was answered."""
        self._detector.record_answer(self._traits)
        if is_success:
            self._detector.record_begun(self._traits)

    def record_cut(self, instance: Instance, started_at: float) -> None:
        """Have an answer that broke off examined.

        :param started_at: when the request was sent, in monotonic seconds
        """
        traits = self._traits
        if self._has_survived_start:
            self._detector.record_begun(traits)
            traits = replace(traits, parts=())
        self._detector.investigate_cut(traits, instance, started_at)

    @property
    def _has_survived_start(self) -> bool:
        """Return whether the upstream has been answering for some time.

        One that crashes on a part of the prompt does so when it begins.
        """
        if self._first_event_at is None:
            return False
        answering_s = self._clock.monotonic() - self._first_event_at
        return answering_s > ANSWER_START.total_seconds()
