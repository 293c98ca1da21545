"""
bergamotshed.forwarding.answer_observer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Records what the beginning of an answer says of its upstream.
"""

__all__ = ('AnswerObserver',)

from ..routing.prompt_readers import SharedPromptReaders
from ..routing.upstream_loads import UpstreamLoads
from ..upstreams.types import Instance, ReportedLoad
from .crash_watch import CrashWatch
from .exchange import ExchangeObserver
from .types import RoutedRequest


class AnswerObserver(ExchangeObserver):
    """Records loads, prompts that were read, and first events."""

    def __init__(
        self,
        request: RoutedRequest,
        loads: UpstreamLoads,
        prompts: SharedPromptReaders,
        watch: CrashWatch,
    ) -> None:
        self._request = request
        self._loads = loads
        self._prompts = prompts
        self._watch = watch

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
