"""
bergamotshed.forwarding.outcome
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How an attempt at an upstream ended, and whether it may be retried.
"""

__all__ = (
    'HTTP_MULTIPLE_CHOICES',
    'AttemptOutcome',
    'AttemptResult',
    'can_retry',
)

from dataclasses import dataclass
from enum import Enum

from ..routes.types import Repeatability
from .types import StreamedAnswer, UpstreamAnswer

HTTP_MULTIPLE_CHOICES = 300


class AttemptOutcome(Enum):
    """The ways in which an attempt ends.

    :cvar ANSWERED: the whole answer was read and its status is below 500
    :cvar NOT_SENT: no byte was written
    :cvar NOT_RUN: the upstream states that it did not run the request
    :cvar MISDIRECTED: another upstream has the address and ran nothing
    :cvar FAILED: the upstream ran the request and answered with a failure
    :cvar BROKEN: the answer broke off or is invalid; whether the request ran
        is unknown
    :cvar SILENT: no head arrived in time; whether the request ran is unknown
    :cvar ABANDONED: the caller disconnected, or the deadline passed
    """

    ANSWERED = 'answered'
    NOT_SENT = 'not_sent'
    NOT_RUN = 'not_run'
    MISDIRECTED = 'misdirected'
    FAILED = 'failed'
    BROKEN = 'broken'
    SILENT = 'silent'
    ABANDONED = 'abandoned'


#: Outcomes after which even a request that may run only once is retried.
_DID_NOT_RUN = frozenset(
    (
        AttemptOutcome.NOT_SENT,
        AttemptOutcome.NOT_RUN,
        AttemptOutcome.MISDIRECTED,
    )
)


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The result of one attempt.

    :ivar detail: why there is no answer, or that it is a failure
    :ivar answer: what the caller gets if there is no retry; ``None`` if
        there is no answer
    :ivar is_answer_started: the caller has received a part of the answer
    """

    outcome: AttemptOutcome
    detail: str = ''
    answer: UpstreamAnswer | StreamedAnswer | None = None
    is_answer_started: bool = False

    @property
    def is_success(self) -> bool:
        """Return whether the upstream answered what was asked for."""
        if self.outcome is not AttemptOutcome.ANSWERED:
            return False
        if isinstance(self.answer, UpstreamAnswer):
            return self.answer.status < HTTP_MULTIPLE_CHOICES
        return True

    @property
    def did_not_run(self) -> bool:
        """Return whether the upstream certainly ran nothing."""
        return self.outcome in _DID_NOT_RUN


def can_retry(
    result: AttemptResult,
    repeatability: Repeatability,
    last_event_id: int | None,
) -> bool:
    """Return whether the request may be sent to another upstream.

    :param last_event_id: id of the last event that the caller received;
        without it a stream that has started can't be resumed
    """
    if result.outcome is AttemptOutcome.ANSWERED:
        return False
    if result.did_not_run:
        return True
    if repeatability is Repeatability.ONCE:
        return False
    if repeatability is Repeatability.RESUMABLE:
        return not result.is_answer_started or last_event_id is not None
    return not result.is_answer_started
