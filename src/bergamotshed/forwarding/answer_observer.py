"""
bergamotshed.forwarding.answer_observer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Records what the beginning of an answer says of its upstream.
"""

__all__ = ('AnswerObserver', 'StatedLimits')

from ..routing.prompt_readers import SharedPromptReaders
from ..routing.stream_origins import SharedStreamOrigins, StreamOrigin
from ..routing.types import SharedRates, SharedSlots
from ..routing.upstream_loads import UpstreamLoads
from ..upstreams.registry import UpstreamRegistry
from ..upstreams.types import Instance, ReportedLoad
from .crash_watch import CrashWatch
from .exchange import ExchangeObserver
from .types import AnswerMetadata, RoutedRequest

#: Source of a statement that this router has read itself.
OWN_SOURCE = 'answer'


class StatedLimits:
    """Records what upstreams state of the requests that they take."""

    def __init__(
        self,
        rates: SharedRates,
        slots: SharedSlots,
        registry: UpstreamRegistry,
    ) -> None:
        self._rates = rates
        self._slots = slots
        self._registry = registry

    def record(
        self, instance: Instance, metadata: AnswerMetadata, sent_at: float
    ) -> None:
        """Record the head of an answer.

        :param sent_at: when the request was sent, in monotonic seconds
        """
        self._rates.record_limit(instance, metadata.max_rate, sent_at)
        self._slots.record_tolerance(instance, metadata.tolerance)
        if metadata.pause:
            self._rates.record_pause(instance, metadata.pause)
        if metadata.is_leaving:
            self._registry.record_leaving(instance.incarnation, OWN_SOURCE)


class AnswerObserver(ExchangeObserver):
    """Records loads, limits, prompts that were read, and first events.

    :param origins: gets the origin of the stream; ``None`` if no caller may
        resume it
    :param begun: origin of the stream that the request resumes, if any
    :ivar origin: where the caller's stream began; ``None`` before its first
        event
    """

    def __init__(
        self,
        request: RoutedRequest,
        loads: UpstreamLoads,
        prompts: SharedPromptReaders,
        limits: StatedLimits,
        watch: CrashWatch,
        origins: SharedStreamOrigins | None,
        begun: StreamOrigin | None,
    ) -> None:
        self.origin = begun
        self._origins = origins
        self._limits = limits
        self._sent_at = float('-inf')
        self._request = request
        self._loads = loads
        self._prompts = prompts
        self._watch = watch

    def start(self, sent_at: float) -> None:
        """Begin an attempt.

        :param sent_at: in monotonic seconds
        """
        self._sent_at = sent_at
        self._watch.start()

    def record_limits(
        self, instance: Instance, metadata: AnswerMetadata
    ) -> None:
        """Record what the upstream states of the requests that it takes."""
        self._limits.record(instance, metadata, self._sent_at)

    def record_load(self, instance: Instance, load: ReportedLoad) -> None:
        """Record the load that an upstream reported."""
        self._loads.record_report(instance, load)

    def record_start(self, instance: Instance) -> None:
        """Record that the upstream has read the prompt.

        This is not left to the end of the answer, which may take seconds.
        """
        self._prompts.record_read(
            self._request.shared_parts, instance.incarnation
        )

    def record_events(self, instance: Instance) -> None:
        """Record that the upstream has sent events."""
        self._watch.record_event()
        if self.origin is None:
            self.origin = StreamOrigin(instance.service, instance.version)
            if self._origins is not None:
                self._origins.record(self._request.attempt_id, self.origin)
