"""
bergamotshed.dispatch.failures
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The final answer that each reason leads to.
"""

__all__ = ('failed', 'not_run', 'quarantined', 'unknown')

import random
from datetime import timedelta

from ..reasons import Reason, Refusal
from .types import Failure, FailureType

DEFAULT_RETRY_AFTER = timedelta(seconds=1)
JITTER = 0.5

TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503
CONFLICT = 409
BAD_GATEWAY = 502

_FAILED_STATUSES = {
    Reason.BAD_REQUEST: 400,
    Reason.UNKNOWN_ORGANISATION: 401,
    Reason.NOT_ALLOWED: 403,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_MODEL: 404,
    Reason.KEY_EXPIRED: 409,
    Reason.QUARANTINED: 422,
    Reason.ENGINE_REJECTED: 400,
}

_BUSY = frozenset((Reason.OVERLOADED, Reason.QUEUE_FULL, Reason.RETRY_BUDGET))


def not_run(refused: Refusal) -> Failure:
    """Answer a request that provably did not run."""
    if refused.reason is Reason.QUARANTINED:
        return quarantined()
    if refused.reason in _FAILED_STATUSES:
        return failed(refused.reason, refused.detail)
    if refused.reason is Reason.CLAIM_TAKEN:
        return unknown(refused)
    busy = refused.reason in _BUSY
    return Failure(
        type=FailureType.REFUSED_NOT_RUN,
        reason=refused.reason,
        message=refused.detail or 'the request was refused and did not run',
        status=TOO_MANY_REQUESTS if busy else UNAVAILABLE,
        retry_after=_jittered(refused.retry_after),
    )


def unknown(refused: Refusal) -> Failure:
    """Answer a request that may have run."""
    taken = refused.reason is Reason.CLAIM_TAKEN
    return Failure(
        type=FailureType.OUTCOME_UNKNOWN,
        reason=refused.reason,
        message=refused.detail or 'the request may have run',
        status=CONFLICT if taken else BAD_GATEWAY,
        retry_after=_jittered(refused.retry_after),
    )


def failed(reason: Reason, message: str) -> Failure:
    """Answer a request that will not succeed when sent again."""
    return Failure(
        type=FailureType.FAILED,
        reason=reason,
        message=message or 'the request failed',
        status=_FAILED_STATUSES.get(reason, BAD_GATEWAY),
    )


def quarantined() -> Failure:
    """Answer a request that is not run any more."""
    return failed(
        Reason.QUARANTINED,
        'upstreams crashed while they ran this request; it is not run again',
    )


def _jittered(retry_after: timedelta | None) -> timedelta:
    """Spread the callers, so that they do not come back all at once."""
    base = retry_after or DEFAULT_RETRY_AFTER
    return base * (1 + JITTER * random.random())
