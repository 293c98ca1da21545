"""
bergamotshed.reasons
~~~~~~~~~~~~~~~~~~~~

Why a request was refused or failed: the reasons that refusals carry through
every layer up to the caller.
"""

__all__ = ('Reason', 'Refusal')

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum


class Reason(Enum):
    """Stable code for why a request was not placed or not answered."""

    NO_CONFIGURATION = 'no_configuration'
    STALE_CONFIGURATION = 'stale_configuration'
    UNKNOWN_ROUTE = 'unknown_route'
    UNKNOWN_KEY = 'unknown_key'
    UNKNOWN_ORGANISATION = 'unknown_organisation'
    UNKNOWN_SERVICE = 'unknown_service'
    UNKNOWN_MODEL = 'unknown_model'
    NOT_ALLOWED = 'not_allowed'
    NO_ENGINE = 'no_engine'
    OVERLOADED = 'overloaded'
    QUEUE_FULL = 'queue_full'
    DEADLINE = 'deadline'
    RETRY_BUDGET = 'retry_budget'
    QUARANTINED = 'quarantined'
    CLAIM_UNAVAILABLE = 'claim_unavailable'
    CLAIM_TAKEN = 'claim_taken'
    KEY_EXPIRED = 'key_expired'
    ENGINE_REFUSED = 'engine_refused'
    ENGINE_CUT = 'engine_cut'
    ENGINE_REJECTED = 'engine_rejected'
    ENGINE_UNREACHED = 'engine_unreached'
    ENGINE_BROKEN = 'engine_broken'
    ENGINE_SILENT = 'engine_silent'
    ORIGIN_GONE = 'origin_gone'
    ORIGIN_UNKNOWN = 'origin_unknown'
    PEER_BROKEN = 'peer_broken'
    STOPPING = 'stopping'
    UPSTREAMS_LOST = 'upstreams_lost'
    BAD_REQUEST = 'bad_request'
    BROKEN = 'broken'


@dataclass(frozen=True, slots=True)
class Refusal:
    """Returned instead of a result when an operation was refused or failed.

    :ivar reason: the cause
    :ivar retry_after: how long to wait before a retry; ``None`` if unknown
        or if no retry can succeed
    :ivar detail: explanation for a human reader
    """

    reason: Reason
    retry_after: timedelta | None = None
    detail: str = ''
