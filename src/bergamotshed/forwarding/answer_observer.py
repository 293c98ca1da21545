"""
bergamotshed.forwarding.answer_observer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Records what the beginning of an answer says of its upstream.
"""

__all__ = ('AnswerObserver',)

from ..routing.prompt_readers import SharedPromptReaders
from ..routing.types import SharedRates
from ..routing.upstream_loads import UpstreamLoads
from ..upstreams.types import Instance, ReportedLoad
from .crash_watch import CrashWatch
from .exchange import ExchangeObserver
from .types import RoutedRequest


class AnswerObserver(ExchangeObserver):
    """Records loads, limits, prompts that were read, and first events."""

    def __init__(
        self,
        request: RoutedRequest,
        loads: UpstreamLoads,
        prompts: SharedPromptReaders,
        rates: SharedRates,
        watch: CrashWatch,
    ) -> None:
        self._rates = rates
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

    def record_limit(self, instance: Instance, rate: float | None) -> None:
        """Record the limit that the upstream names."""
        self._rates.record_limit(instance, rate, self._sent_at)

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

    def record_event(self) -> None:
        """Record that the upstream has sent an event."""
        self._watch.record_event()
