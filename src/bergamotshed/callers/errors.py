"""
bergamotshed.callers.errors
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Encodes failures in the callers' format.
"""

__all__ = (
    'BadRequest',
    'RequestRefused',
    'failure_body',
    'failure_headers',
    'failure_response',
)

from datetime import timedelta
from typing import Any

from aiohttp import web
from msgspec import json

from ..dispatch.types import Failure, FailureType
from ..errors import BergamotshedError
from ..reasons import Reason
from ..retry_after import format_retry_after

HTTP_BAD_REQUEST = 400
HTTP_UNAVAILABLE = 503


class BadRequest(BergamotshedError):
    """The caller's request is invalid and was not processed further.

    :param status: an HTTP status of the 4xx range
    """

    def __init__(self, message: str, status: int = HTTP_BAD_REQUEST) -> None:
        super().__init__(message)
        self.status = status

    @property
    def failure(self) -> Failure:
        """Return the failure that the caller receives."""
        return Failure(
            FailureType.FAILED, Reason.BAD_REQUEST, str(self), self.status
        )


class RequestRefused(BergamotshedError):
    """A request was refused before it was read; it did not run.

    :param retry_after: when its caller may come back
    """

    def __init__(
        self, reason: Reason, retry_after: timedelta, message: str
    ) -> None:
        super().__init__(message)
        self.failure = Failure(
            FailureType.REFUSED_NOT_RUN,
            reason,
            message,
            HTTP_UNAVAILABLE,
            retry_after,
        )


def failure_body(failure: Failure) -> bytes:
    """Encode a failure as JSON."""
    retry_after = failure.retry_after
    seconds = None if retry_after is None else retry_after.total_seconds()
    error: dict[str, Any] = {
        'type': failure.type.value,
        'reason': failure.reason.value,
        'message': failure.message,
        'retry_after': seconds,
    }
    return json.encode({'error': error})


def failure_headers(failure: Failure) -> dict[str, str]:
    """Return the additional headers of a failure."""
    if failure.retry_after is None:
        return {}
    return {'Retry-After': format_retry_after(failure.retry_after)}


def failure_response(
    failure: Failure, headers: dict[str, str] | None = None
) -> web.Response:
    """Build the HTTP response for a failure."""
    return web.Response(
        status=failure.status,
        body=failure_body(failure),
        content_type='application/json',
        headers={**(headers or {}), **failure_headers(failure)},
    )
