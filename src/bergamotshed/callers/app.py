"""
bergamotshed.callers.app
~~~~~~~~~~~~~~~~~~~~~~~~

The web application for callers.
"""

__all__ = ('READ_TIMEOUT', 'build_app')

import traceback
from datetime import timedelta

from aiohttp import web
from aiohttp.typedefs import Handler
from eliot import log_message

from ..clock import Clock
from ..dispatch.chat import ChatDispatcher
from ..dispatch.plain import PlainDispatcher
from ..dispatch.types import Failure, FailureType
from ..reasons import Reason
from .entry_addresses import EntryAddressesSource
from .errors import BadRequest, RequestRefused, failure_response
from .handlers import CallerHandlers
from .parse import CallParser
from .placement_tokens import PlacementTokens

MAX_BODY_BYTES = 4 * 1024 * 1024
NAME_PATTERN = '[A-Za-z0-9._-]+'
DEFAULT_READ_TIMEOUT = timedelta(seconds=10)
INTERNAL_ERROR = Failure(
    FailureType.OUTCOME_UNKNOWN,
    Reason.BROKEN,
    'this router failed to handle the request',
    500,
    timedelta(seconds=1),
)
READ_TIMEOUT = web.AppKey('READ_TIMEOUT', timedelta)


def build_app(
    chat: ChatDispatcher,
    plain: PlainDispatcher,
    entry_addresses: EntryAddressesSource,
    clock: Clock,
    *,
    token_key: bytes,
    max_body_bytes: int = MAX_BODY_BYTES,
    read_timeout: timedelta = DEFAULT_READ_TIMEOUT,
) -> web.Application:
    """Build the application.

    :param token_key: key that signs the placement tokens
    :param max_body_bytes: size of the largest accepted body
    :param read_timeout: for the first request head of a connection, and for
        each body
    """
    tokens = PlacementTokens(token_key)
    parser = CallParser(tokens, read_timeout)
    handlers = CallerHandlers(
        chat, plain, entry_addresses, tokens, parser, clock
    )
    app = web.Application(
        client_max_size=max_body_bytes, middlewares=[_answer_errors]
    )
    app[READ_TIMEOUT] = read_timeout
    app.router.add_post('/v1/chat/completions', handlers.complete_chat)
    app.router.add_post(
        f'/v1/services/{{service:{NAME_PATTERN}}}/{{call:{NAME_PATTERN}}}',
        handlers.call_service,
    )
    app.router.add_get('/v1/entries', handlers.list_entry_addresses)
    return app


@web.middleware
async def _answer_errors(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Turn exceptions into error responses in the callers' format."""
    try:
        return await handler(request)
    except (BadRequest, RequestRefused) as error:
        response = failure_response(error.failure)
        # The unread rest of the body may still follow on the connection.
        response.force_close()
        return response
    except web.HTTPClientError as error:
        return failure_response(BadRequest(error.reason, error.status).failure)
    except Exception:
        log_message('request.broke', failure=traceback.format_exc())
        return failure_response(INTERNAL_ERROR)
