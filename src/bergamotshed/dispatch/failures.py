"""
bergamotshed.dispatch.failures
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Maps each reason to the failure that the caller receives.
"""

__all__ = (
    'not_run_failure',
    'permanent_failure',
    'quarantine_failure',
    'unknown_outcome_failure',
)

import random
from datetime import timedelta

from ..reasons import Reason, Refusal
from .types import Failure, FailureType

DEFAULT_RETRY_AFTER = timedelta(seconds=1)
MAX_JITTER_FRACTION = 0.5

HTTP_TOO_MANY_REQUESTS = 429
HTTP_UNAVAILABLE = 503
HTTP_CONFLICT = 409
HTTP_BAD_GATEWAY = 502

_PERMANENT_FAILURE_STATUSES = {
    Reason.BAD_REQUEST: 400,
    Reason.UNKNOWN_ORGANISATION: 401,
    Reason.NOT_ALLOWED: 403,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_MODEL: 404,
    Reason.KEY_EXPIRED: 409,
    Reason.QUARANTINED: 422,
    Reason.ENGINE_REJECTED: 400,
}

_BUSY_REASONS = frozenset(
    (Reason.OVERLOADED, Reason.QUEUE_FULL, Reason.RETRY_BUDGET)
)


def not_run_failure(refusal: Refusal) -> Failure:
    """Return the failure of a request that certainly did not run."""
    if refusal.reason is Reason.QUARANTINED:
        return quarantine_failure()
    if refusal.reason in _PERMANENT_FAILURE_STATUSES:
        return permanent_failure(refusal.reason, refusal.detail)
    if refusal.reason is Reason.CLAIM_TAKEN:
        return unknown_outcome_failure(refusal)
    is_busy = refusal.reason in _BUSY_REASONS
    return Failure(
        type=FailureType.REFUSED_NOT_RUN,
        reason=refusal.reason,
        message=refusal.detail or 'the request was refused and did not run',
        status=HTTP_TOO_MANY_REQUESTS if is_busy else HTTP_UNAVAILABLE,
        retry_after=_jittered(refusal.retry_after),
    )


def unknown_outcome_failure(refusal: Refusal) -> Failure:
    """Return the failure of a request that may have run."""
    is_claim_taken = refusal.reason is Reason.CLAIM_TAKEN
    return Failure(
        type=FailureType.OUTCOME_UNKNOWN,
        reason=refusal.reason,
        message=refusal.detail or 'the request may have run',
        status=HTTP_CONFLICT if is_claim_taken else HTTP_BAD_GATEWAY,
        retry_after=_jittered(refusal.retry_after),
    )


def permanent_failure(reason: Reason, message: str) -> Failure:
    """Return the failure of a request that would fail again if repeated."""
    return Failure(
        type=FailureType.FAILED,
        reason=reason,
        message=message or 'the request failed',
        status=_PERMANENT_FAILURE_STATUSES.get(reason, HTTP_BAD_GATEWAY),
    )


def quarantine_failure() -> Failure:
    """Return the failure of a quarantined request."""
    return permanent_failure(
        Reason.QUARANTINED,
        'upstreams crashed while they ran this request; it is not run again',
    )


def _jittered(retry_after: timedelta | None) -> timedelta:
    """Add random jitter, so that callers do not all retry at once."""
    minimum = retry_after or DEFAULT_RETRY_AFTER
    return minimum * (1 + MAX_JITTER_FRACTION * random.random())
