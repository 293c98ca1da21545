"""
bergamotshed.forwarding.outcome
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How an attempt at an upstream ended, and what may follow.
"""

__all__ = ('AttemptOutcome', 'AttemptResult', 'can_retry')

from dataclasses import dataclass
from enum import Enum

from ..routes.types import Repeatability
from .types import StreamedAnswer, UpstreamAnswer


class AttemptOutcome(Enum):
    """The ways in which an attempt ends.

    :cvar NOT_SENT: no byte was written
    :cvar NOT_RUN: the upstream states that it did not run the request
    :cvar MISDIRECTED: another upstream has the address; it ran nothing
    :cvar FAILED: the upstream ran the request and answered with a failure
    :cvar BROKEN: the answer broke off or is none; the outcome is unknown
    :cvar SILENT: nothing came in time; the outcome is unknown
    :cvar ABANDONED: the caller left, or the request ran out of time
    """

    ANSWERED = 'answered'
    NOT_SENT = 'not_sent'
    NOT_RUN = 'not_run'
    MISDIRECTED = 'misdirected'
    FAILED = 'failed'
    BROKEN = 'broken'
    SILENT = 'silent'
    ABANDONED = 'abandoned'


#: Endings after which a request that must run once at most may be sent on.
_DID_NOT_RUN = frozenset(
    (
        AttemptOutcome.NOT_SENT,
        AttemptOutcome.NOT_RUN,
        AttemptOutcome.MISDIRECTED,
    )
)


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The end of one attempt.

    :ivar result: what the caller gets if nothing follows, where there is
        something
    :ivar begun: the caller has received a part of a stream
    """

    outcome: AttemptOutcome
    detail: str = ''
    answer: UpstreamAnswer | StreamedAnswer | None = None
    is_answer_started: bool = False

    @property
    def did_not_run(self) -> bool:
        """Return whether the upstream certainly ran nothing."""
        return self.outcome in _DID_NOT_RUN


def can_retry(
    result: AttemptResult,
    repeatability: Repeatability,
    after_event: int | None,
) -> bool:
    """Tell whether another upstream may get the request.

    :param after_event: id of the last event that the caller received; a
        stream can go on only from a known place
    """
    if result.outcome is AttemptOutcome.ANSWERED:
        return False
    if result.did_not_run:
        return True
    if repeatability is Repeatability.ONCE:
        return False
    if repeatability is Repeatability.RESUMABLE:
        return not result.is_answer_started or after_event is not None
    return not result.is_answer_started
