"""
bergamotshed.edge.responses
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Error responses to callers, for when there is no upstream's answer.
"""

__all__ = (
    'bad_request_response',
    'refusal_response',
    'unknown_outcome_response',
)

from http import HTTPStatus

import msgspec
from aiohttp import web

from ..forwarding.types import UnknownOutcome
from ..reasons import Reason, Refusal

_STATUSES = {
    Reason.UNKNOWN_ROUTE: HTTPStatus.NOT_FOUND,
    Reason.UNKNOWN_KEY: HTTPStatus.UNAUTHORIZED,
}
_JSON_TYPE = 'application/json'


def refusal_response(refusal: Refusal) -> web.Response:
    """Return the response to a request that did not and will not run."""
    status = _STATUSES.get(refusal.reason, HTTPStatus.SERVICE_UNAVAILABLE)
    response = _failure_response(
        status, 'refused, not run', refusal.reason, refusal.detail
    )
    if refusal.retry_after is not None:
        seconds = refusal.retry_after.total_seconds()
        response.headers['Retry-After'] = f'{seconds:.3f}'
    return response


def unknown_outcome_response(failure: UnknownOutcome) -> web.Response:
    """Return the response to a request that may have run."""
    status = HTTPStatus.BAD_GATEWAY
    if failure.has_timed_out:
        status = HTTPStatus.GATEWAY_TIMEOUT
    return _failure_response(
        status, 'outcome unknown', failure.reason, failure.detail
    )


def bad_request_response(status: HTTPStatus, detail: str) -> web.Response:
    """Return the response to an invalid request; it closes the connection."""
    response = _failure_response(status, 'failed', Reason.BAD_REQUEST, detail)
    response.force_close()
    return response


def _failure_response(
    status: HTTPStatus, failure_type: str, reason: Reason, detail: str
) -> web.Response:
    body = {'type': failure_type, 'reason': reason.value, 'message': detail}
    return web.Response(
        status=status,
        body=msgspec.json.encode({'error': body}),
        content_type=_JSON_TYPE,
    )
