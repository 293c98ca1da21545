"""
bergamotshed.dispatch.trace
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Logs one request as an action with messages for each attempt. The content of
chats is not logged.
"""

__all__ = ('RequestTrace',)

from eliot import start_task

from ..engines.types import Finish
from ..routing.types import Outcome
from .types import CallOptions, Failure


class RequestTrace:
    """Logs the attempts and the end of one request.

    :param kind: ``chat`` or ``plain``
    """

    def __init__(self, kind: str, options: CallOptions, service: str) -> None:
        self._action = start_task(
            action_type=f'request:{kind}',
            request=options.request_id,
            organisation=options.organisation,
            service=service,
            at_most_once=options.at_most_once,
        )
        self._is_open = True

    def log_attempt_started(
        self, attempt: int, upstream: str, home: str
    ) -> None:
        """Log the start of an attempt."""
        self._action.log(
            'attempt:began', attempt=attempt, upstream=upstream, home=home
        )

    def log_attempt_ended(
        self, attempt: int, upstream: str, outcome: Outcome, detail: str = ''
    ) -> None:
        """Log the end of an attempt."""
        self._action.log(
            'attempt:ended',
            attempt=attempt,
            upstream=upstream,
            outcome=outcome.value,
            detail=detail,
        )

    def log_answered(self, finish: Finish | None = None) -> None:
        """Log that the request was answered."""
        if finish is not None:
            self._action.add_success_fields(
                tokens=finish.offset, cached=finish.cached
            )
        self._close('answered')

    def log_failure(self, failure: Failure) -> None:
        """Log the failure that the request ended with."""
        self._action.add_success_fields(
            type=failure.type.value, reason=failure.reason.value
        )
        self._close('gave up')

    def log_disconnect(self) -> None:
        """Log that the caller disconnected, unless the request has ended."""
        self._close('caller left')

    def _close(self, ending: str) -> None:
        if self._is_open:
            self._is_open = False
            self._action.add_success_fields(ending=ending)
            self._action.finish()
