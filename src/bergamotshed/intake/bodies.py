"""
bergamotshed.intake.bodies
~~~~~~~~~~~~~~~~~~~~~~~~~~

Reads the bodies of requests, up to a limit and as far as there is memory.
"""

__all__ = ('MEMORY_RETRY_AFTER', 'BodyFlaw', 'read_request_body')

import asyncio
import enum
from datetime import timedelta
from http import HTTPStatus

from aiohttp import ClientError, web
from aiohttp.web_request import BaseRequest

from .connection import GaveWay, GuardedConnection, connection_of

#: Memory for a body without a length is counted in steps.
STEP_BYTES = 65_536
#: When a client whose body found no memory may come back.
MEMORY_RETRY_AFTER = timedelta(seconds=1)


class BodyFlaw(enum.Enum):
    """Why a body was not read to its end, in words and as an HTTP status."""

    TOO_LARGE = 'the body is too large'
    TOO_SLOW = 'the body did not arrive in time'
    NO_MEMORY = 'no memory for the body'
    MALFORMED = 'the body is malformed or incomplete'

    @property
    def status(self) -> HTTPStatus:
        """Return the status of the answer to such a request."""
        return _STATUSES[self]


_STATUSES = {
    BodyFlaw.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    BodyFlaw.TOO_SLOW: HTTPStatus.REQUEST_TIMEOUT,
    BodyFlaw.NO_MEMORY: HTTPStatus.SERVICE_UNAVAILABLE,
    BodyFlaw.MALFORMED: HTTPStatus.BAD_REQUEST,
}


async def read_request_body(
    request: BaseRequest, limit: int, timeout: timedelta, cost_factor: int = 1
) -> bytes | BodyFlaw:
    """Return the whole body of a request, or why it was not read.

    Its memory is counted until the request has been answered.

    :param limit: longest body in bytes
    :param timeout: for its arrival
    :param cost_factor: memory of the request for each byte of its body
    """
    if not request.body_exists:
        return b''
    connection = connection_of(request)
    announced = request.content_length or 0
    if announced > limit:
        return BodyFlaw.TOO_LARGE
    if not connection.reserve(announced * cost_factor):
        return BodyFlaw.NO_MEMORY
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            return await _read(request, connection, limit, cost_factor)
    except GaveWay:
        return BodyFlaw.NO_MEMORY
    except (ClientError, web.RequestPayloadError, TimeoutError) as error:
        is_late = isinstance(error, TimeoutError)
        return BodyFlaw.TOO_SLOW if is_late else BodyFlaw.MALFORMED


async def _read(
    request: BaseRequest,
    connection: GuardedConnection,
    limit: int,
    cost_factor: int,
) -> bytes | BodyFlaw:
    body = bytearray()
    reserved = request.content_length or 0
    while piece := await request.content.readany():
        if len(body) + len(piece) > limit:
            return BodyFlaw.TOO_LARGE
        while len(body) + len(piece) > reserved:
            if not connection.reserve(STEP_BYTES * cost_factor):
                return BodyFlaw.NO_MEMORY
            reserved += STEP_BYTES
        body += piece
    return bytes(body)
