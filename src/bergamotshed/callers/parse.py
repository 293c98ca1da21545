"""
bergamotshed.callers.parse
~~~~~~~~~~~~~~~~~~~~~~~~~~

Parses HTTP requests of callers into calls. Rejects requests that are
malformed, too large or too slow.
"""

__all__ = ('CallParser', 'ParsedChat')

from dataclasses import dataclass
from datetime import timedelta
from secrets import token_hex
from typing import Annotated

from aiohttp import web
from msgspec import Meta, Struct
from msgspec.json import Decoder

from ..decoding import DECODE_ERRORS
from ..dispatch.types import CallOptions, ChatCall, PlainCall
from ..engines.types import ChatMessage
from ..intake.bodies import (
    MEMORY_RETRY_AFTER,
    BodyFlaw,
    read_request_body,
)
from ..reasons import Reason
from .errors import BadRequest, RequestRefused
from .placement_tokens import PlacementTokens

DEFAULT_DEADLINE = timedelta(seconds=60)
MAX_DEADLINE_MS = 600_000
DEFAULT_PRIORITY = 5
MAX_PRIORITY = 9
DEFAULT_MAX_TOKENS = 256
MAX_TOKENS = 65_536
MAX_MESSAGES = 10_000
MAX_HEADER_CHARACTERS = 200
REQUEST_ID_BYTES = 12
DEFAULT_CONTENT_TYPE = 'application/json'

#: A request is held as received, decoded, and encoded for its engine.
REQUEST_COST_FACTOR = 3

_TokenCount = Annotated[int, Meta(ge=1, le=MAX_TOKENS)]


class TextPart(Struct):
    """One part of a message that consists of parts; must be text."""

    type: str = 'text'
    text: str = ''


class MessageBody(Struct):
    """One message in the common chat-completions format."""

    role: Annotated[str, Meta(min_length=1, max_length=64)]
    content: str | list[TextPart] | None = None


class ChatBody(Struct):
    """The fields of the common format that the system uses."""

    model: Annotated[str, Meta(min_length=1, max_length=127)]
    messages: Annotated[
        list[MessageBody], Meta(min_length=1, max_length=MAX_MESSAGES)
    ]
    stream: bool | None = None
    max_tokens: _TokenCount | None = None
    max_completion_tokens: _TokenCount | None = None


@dataclass(frozen=True, slots=True)
class ParsedChat:
    """A chat call, and whether its caller wants a stream."""

    call: ChatCall
    wants_stream: bool


class CallParser:
    """Parses calls.

    :param read_timeout: for reading the complete body
    """

    def __init__(
        self, tokens: PlacementTokens, read_timeout: timedelta
    ) -> None:
        self._tokens = tokens
        self._read_timeout = read_timeout
        self._chat_decoder = Decoder(ChatBody)

    async def parse_chat(self, request: web.Request) -> ParsedChat:
        """Parse a chat completion.

        :raises BadRequest: it is malformed, too large or too slow
        """
        options = self._parse_options(request)
        raw_body = await self._read_body(request)
        try:
            body = self._chat_decoder.decode(raw_body)
        except DECODE_ERRORS as error:
            raise BadRequest(f'the body is malformed: {error}') from error
        model, _, adapter = body.model.partition('+')
        messages = tuple(_message(message) for message in body.messages)
        call = ChatCall(
            options=options,
            chat_id=_text_header(request, 'X-Chat-Id')
            or _derive_chat_id(messages),
            model=model,
            adapter=adapter,
            messages=messages,
            max_tokens=_max_tokens(body),
        )
        return ParsedChat(call, bool(body.stream))

    async def parse_plain(self, request: web.Request) -> PlainCall:
        """Parse a plain call.

        :raises BadRequest: it is malformed, too large or too slow
        """
        return PlainCall(
            options=self._parse_options(request),
            service=request.match_info['service'],
            name=request.match_info['call'],
            body=await self._read_body(request),
            content_type=request.headers.get(
                'Content-Type', DEFAULT_CONTENT_TYPE
            ),
        )

    def _parse_options(self, request: web.Request) -> CallOptions:
        organisation = _text_header(request, 'X-Organisation')
        if not organisation:
            raise BadRequest('the header X-Organisation is missing')
        deadline_ms = _integer_header(
            request, 'X-Deadline-Ms', 1, MAX_DEADLINE_MS
        )
        priority = _integer_header(request, 'X-Priority', 0, MAX_PRIORITY)
        token = request.headers.get('X-Placement', '')
        return CallOptions(
            request_id=token_hex(REQUEST_ID_BYTES),
            organisation=organisation,
            priority=DEFAULT_PRIORITY if priority is None else priority,
            time_allowed=(
                DEFAULT_DEADLINE
                if deadline_ms is None
                else timedelta(milliseconds=deadline_ms)
            ),
            idempotency_key=_text_header(request, 'Idempotency-Key'),
            at_most_once=_flag_header(request, 'X-At-Most-Once'),
            preferred_upstream=self._tokens.read(token, organisation),
        )

    async def _read_body(self, request: web.Request) -> bytes:
        body = await read_request_body(
            request,
            request.client_max_size,
            self._read_timeout,
            REQUEST_COST_FACTOR,
        )
        if body is BodyFlaw.NO_MEMORY:
            raise RequestRefused(
                Reason.OVERLOADED, MEMORY_RETRY_AFTER, body.value
            )
        if isinstance(body, BodyFlaw):
            raise BadRequest(body.value, body.status)
        return body


def _text_header(request: web.Request, name: str) -> str:
    text = request.headers.get(name, '').strip()
    if len(text) > MAX_HEADER_CHARACTERS:
        raise BadRequest(f'the header {name} is too long')
    if not text.isprintable():
        raise BadRequest(f'the header {name} has unprintable characters')
    return text


def _integer_header(
    request: web.Request, name: str, minimum: int, maximum: int
) -> int | None:
    text = _text_header(request, name)
    if not text:
        return None
    if not text.isdecimal() or not minimum <= int(text) <= maximum:
        raise BadRequest(
            f'the header {name} must be from {minimum} to {maximum}'
        )
    return int(text)


def _flag_header(request: web.Request, name: str) -> bool:
    text = _text_header(request, name)
    if text not in {'', '0', '1'}:
        raise BadRequest(f'the header {name} must be 0 or 1')
    return text == '1'


def _message(body: MessageBody) -> ChatMessage:
    content = body.content
    if isinstance(content, list):
        if any(part.type != 'text' for part in content):
            raise BadRequest('only text parts are supported in messages')
        content = ''.join(part.text for part in content)
    return ChatMessage(body.role, content or '')


def _derive_chat_id(messages: tuple[ChatMessage, ...]) -> str:
    """Derive a chat id from the messages up to the first one of the user.

    Used for callers that send no chat id: these messages stay the same in
    later requests of the chat.
    """
    opening: list[str] = []
    for message in messages:
        opening.append(f'{message.role}:{message.content}')
        if message.role == 'user':
            break
    return '\n'.join(opening)


def _max_tokens(body: ChatBody) -> int:
    for tokens in (body.max_completion_tokens, body.max_tokens):
        if tokens is not None:
            return tokens
    return DEFAULT_MAX_TOKENS
