"""
bergamotshed.edge.responses
~~~~~~~~~~~~~~~~~~~~~~~~~

What callers get when no upstream's answer can be passed on.
"""

__all__ = ('bad_request', 'refusal', 'undelivered')

from http import HTTPStatus

import msgspec
from aiohttp import web

from ..forwarding.types import UnknownOutcome
from ..reasons import Reason, Refusal

_STATUSES = {
    Reason.UNKNOWN_ROUTE: HTTPStatus.NOT_FOUND,
    Reason.UNKNOWN_KEY: HTTPStatus.UNAUTHORIZED,
}
_JSON = 'application/json'


def refusal(refused: Refusal) -> web.Response:
    """Answer a request that has not run and never will."""
    status = _STATUSES.get(refused.reason, HTTPStatus.SERVICE_UNAVAILABLE)
    response = _failure(
        status, 'refused, not run', refused.reason, refused.detail
    )
    if refused.retry_after is not None:
        seconds = refused.retry_after.total_seconds()
        response.headers['Retry-After'] = f'{seconds:.3f}'
    return response


def undelivered(failure: UnknownOutcome) -> web.Response:
    """Answer a request whose outcome is unknown."""
    status = HTTPStatus.BAD_GATEWAY
    if failure.has_timed_out:
        status = HTTPStatus.GATEWAY_TIMEOUT
    return _failure(status, 'outcome unknown', failure.reason, failure.detail)


def bad_request(status: HTTPStatus, detail: str) -> web.Response:
    """Answer what is no proper request and close the connection."""
    response = _failure(status, 'failed', Reason.BAD_REQUEST, detail)
    response.force_close()
    return response


def _failure(
    status: HTTPStatus, kind: str, reason: Reason, detail: str
) -> web.Response:
    body = {'type': kind, 'reason': reason.value, 'message': detail}
    return web.Response(
        status=status,
        body=msgspec.json.encode({'error': body}),
        content_type=_JSON,
    )
