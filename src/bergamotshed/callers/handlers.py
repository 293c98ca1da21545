"""
bergamotshed.callers.handlers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Request handlers for callers.
"""

__all__ = ('CallerHandlers',)

import asyncio
from collections.abc import AsyncIterator
from contextlib import aclosing
from datetime import timedelta

from aiohttp import web
from msgspec import json

from ..clock import Clock
from ..dispatch.chat import ChatDispatcher
from ..dispatch.plain import PlainDispatcher
from ..dispatch.types import AttemptStarted, ChatCall, Event, Failure
from ..engines.types import Chunk, Finish
from .answer_encoder import ChatAnswerEncoder
from .entry_addresses import EntryAddressesSource
from .errors import failure_response
from .parse import CallParser, ParsedChat
from .placement_tokens import PlacementTokens

WRITE_GRACE = timedelta(seconds=5)


class CallerHandlers:
    """Has one handler method for each resource."""

    def __init__(
        self,
        chat: ChatDispatcher,
        plain: PlainDispatcher,
        entry_addresses: EntryAddressesSource,
        tokens: PlacementTokens,
        parser: CallParser,
        clock: Clock,
    ) -> None:
        self._chat = chat
        self._plain = plain
        self._entry_addresses = entry_addresses
        self._tokens = tokens
        self._parser = parser
        self._clock = clock

    async def complete_chat(self, request: web.Request) -> web.StreamResponse:
        """Answer a chat completion."""
        parsed = await self._parser.parse_chat(request)
        call = parsed.call
        created = int(self._clock.now().timestamp())
        encoder = ChatAnswerEncoder(
            call.options.request_id, call.model, created
        )
        timeout_s = (call.options.time_allowed + WRITE_GRACE).total_seconds()
        try:
            async with asyncio.timeout(timeout_s):
                return await self._answer(request, parsed, encoder)
        except TimeoutError:
            # The caller does not read its answer: the connection is aborted,
            # so that the answer can't look complete.
            return _abort(request)

    async def call_service(self, request: web.Request) -> web.Response:
        """Answer a plain call."""
        call = await self._parser.parse_plain(request)
        answer = await self._plain.run(call)
        headers = {'X-Request-Id': call.options.request_id}
        if isinstance(answer, Failure):
            return failure_response(answer, headers)
        return web.Response(
            status=answer.status,
            body=answer.body,
            headers={**headers, 'Content-Type': answer.content_type},
        )

    async def list_entry_addresses(self, request: web.Request) -> web.Response:
        """Answer which addresses the caller should use."""
        organisation = request.headers.get('X-Organisation', '')
        entry_addresses = self._entry_addresses.addresses_for(
            f'{request.remote}\n{organisation}'
        )
        return web.Response(
            body=json.encode(entry_addresses),
            content_type='application/json',
            headers={'Cache-Control': f'max-age={entry_addresses.lifetime}'},
        )

    async def _answer(
        self,
        request: web.Request,
        parsed: ParsedChat,
        encoder: ChatAnswerEncoder,
    ) -> web.StreamResponse:
        call = parsed.call
        async with aclosing(self._chat.run(call)) as events:
            if parsed.wants_stream:
                return await self._stream(request, call, events, encoder)
            return await self._collect_answer(call, events, encoder)

    async def _stream(
        self,
        request: web.Request,
        call: ChatCall,
        events: AsyncIterator[Event],
        encoder: ChatAnswerEncoder,
    ) -> web.StreamResponse:
        """Send events as they arrive; the head is sent before the first one."""
        response: web.StreamResponse | None = None
        upstream = ''
        async for event in events:
            if isinstance(event, AttemptStarted):
                upstream = event.upstream
                continue
            if response is None:
                if isinstance(event, Failure):
                    return failure_response(event, _request_id_header(call))
                response = await self._start_stream(request, call, upstream)
            await response.write(_encode_event(encoder, event))
        if response is None:
            raise web.HTTPInternalServerError
        await response.write_eof()
        return response

    async def _start_stream(
        self, request: web.Request, call: ChatCall, upstream: str
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers=self._answer_headers(call, upstream)
        )
        response.content_type = 'text/event-stream'
        response.headers['Cache-Control'] = 'no-store'
        await response.prepare(request)
        return response

    async def _collect_answer(
        self,
        call: ChatCall,
        events: AsyncIterator[Event],
        encoder: ChatAnswerEncoder,
    ) -> web.Response:
        texts: list[str] = []
        upstream = ''
        async for event in events:
            match event:
                case AttemptStarted():
                    upstream = event.upstream
                case Chunk():
                    texts.append(event.text)
                case Finish():
                    return web.Response(
                        body=encoder.encode_answer(''.join(texts), event),
                        content_type='application/json',
                        headers=self._answer_headers(call, upstream),
                    )
                case Failure():
                    return failure_response(event, _request_id_header(call))
        raise web.HTTPInternalServerError

    def _answer_headers(self, call: ChatCall, upstream: str) -> dict[str, str]:
        headers = _request_id_header(call)
        if upstream:
            organisation = call.options.organisation
            headers['X-Placement'] = self._tokens.make(upstream, organisation)
        return headers


def _abort(request: web.Request) -> web.StreamResponse:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


def _request_id_header(call: ChatCall) -> dict[str, str]:
    return {'X-Request-Id': call.options.request_id}


def _encode_event(
    encoder: ChatAnswerEncoder, event: Chunk | Finish | Failure
) -> bytes:
    if isinstance(event, Chunk):
        return encoder.encode_chunk(event.text)
    if isinstance(event, Finish):
        return encoder.encode_finish(event)
    return encoder.encode_failure(event)
