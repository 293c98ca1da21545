"""
bergamotshed.callers.parse
~~~~~~~~~~~~~~~~~~~~~~~~~~

Turns HTTP requests of callers into calls. Whatever is malformed, too large or
too slow ends here.
"""

__all__ = ('CallParser', 'ParsedChat')

import asyncio
from dataclasses import dataclass
from datetime import timedelta
from secrets import token_hex
from typing import Annotated

from aiohttp import ClientError, web
from msgspec import DecodeError, Meta, Struct
from msgspec.json import Decoder

from ..dispatch.types import CallOptions, ChatCall, PlainCall
from ..engines.types import ChatMessage
from .errors import BadRequest
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

REQUEST_TIMEOUT = 408
TOO_LARGE = 413

_Tokens = Annotated[int, Meta(ge=1, le=MAX_TOKENS)]


class TextPart(Struct):
    """One part of a message that comes in parts; only text is taken."""

    type: str = 'text'
    text: str = ''


class MessageBody(Struct):
    """One message of the common chat-completions shape."""

    role: Annotated[str, Meta(min_length=1, max_length=64)]
    content: str | list[TextPart] | None = None


class ChatBody(Struct):
    """The fields of the common shape that the system uses."""

    model: Annotated[str, Meta(min_length=1, max_length=127)]
    messages: Annotated[
        list[MessageBody], Meta(min_length=1, max_length=MAX_MESSAGES)
    ]
    stream: bool | None = None
    max_tokens: _Tokens | None = None
    max_completion_tokens: _Tokens | None = None


@dataclass(frozen=True, slots=True)
class ParsedChat:
    """A chat call and how its caller wants the answer."""

    call: ChatCall
    stream: bool


class CallParser:
    """Parses calls.

    :param read_timeout: for the whole body
    """

    def __init__(
        self, tokens: PlacementTokens, read_timeout: timedelta
    ) -> None:
        self._tokens = tokens
        self._read_timeout = read_timeout.total_seconds()
        self._chat_decoder = Decoder(ChatBody)

    async def chat(self, request: web.Request) -> ParsedChat:
        """Parse a chat completion.

        :raises BadRequest: it is malformed, too large or too slow
        """
        options = self._options(request)
        received = await self._body(request)
        try:
            body = self._chat_decoder.decode(received)
        except (DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise BadRequest(f'the body is wrong: {error}') from error
        model, _, adapter = body.model.partition('+')
        messages = tuple(_message(message) for message in body.messages)
        call = ChatCall(
            options=options,
            chat=_header(request, 'X-Chat-Id') or _opening(messages),
            model=model,
            adapter=adapter,
            messages=messages,
            max_tokens=_max_tokens(body),
        )
        return ParsedChat(call, bool(body.stream))

    async def plain(self, request: web.Request) -> PlainCall:
        """Parse a plain call.

        :raises BadRequest: it is malformed, too large or too slow
        """
        return PlainCall(
            options=self._options(request),
            service=request.match_info['service'],
            call=request.match_info['call'],
            body=await self._body(request),
            content_type=request.headers.get(
                'Content-Type', DEFAULT_CONTENT_TYPE
            ),
        )

    def _options(self, request: web.Request) -> CallOptions:
        organisation = _header(request, 'X-Organisation')
        if not organisation:
            raise BadRequest('the header X-Organisation is missing')
        deadline = _number(request, 'X-Deadline-Ms', 1, MAX_DEADLINE_MS)
        priority = _number(request, 'X-Priority', 0, MAX_PRIORITY)
        token = request.headers.get('X-Placement', '')
        return CallOptions(
            request=token_hex(REQUEST_ID_BYTES),
            organisation=organisation,
            priority=DEFAULT_PRIORITY if priority is None else priority,
            deadline=(
                DEFAULT_DEADLINE
                if deadline is None
                else timedelta(milliseconds=deadline)
            ),
            key=_header(request, 'Idempotency-Key'),
            at_most_once=_flag(request, 'X-At-Most-Once'),
            placement=self._tokens.read(token, organisation),
        )

    async def _body(self, request: web.Request) -> bytes:
        try:
            async with asyncio.timeout(self._read_timeout):
                return await request.read()
        except TimeoutError as error:
            raise BadRequest(
                'the body came too slowly', REQUEST_TIMEOUT
            ) from error
        except web.HTTPRequestEntityTooLarge as error:
            raise BadRequest('the body is too large', TOO_LARGE) from error
        except (ClientError, web.RequestPayloadError) as error:
            raise BadRequest('the body is not readable') from error


def _header(request: web.Request, name: str) -> str:
    text = request.headers.get(name, '').strip()
    if len(text) > MAX_HEADER_CHARACTERS:
        raise BadRequest(f'the header {name} is too long')
    if not text.isprintable():
        raise BadRequest(f'the header {name} has unprintable characters')
    return text


def _number(
    request: web.Request, name: str, least: int, most: int
) -> int | None:
    text = _header(request, name)
    if not text:
        return None
    if not text.isdecimal() or not least <= int(text) <= most:
        raise BadRequest(f'the header {name} must be from {least} to {most}')
    return int(text)


def _flag(request: web.Request, name: str) -> bool:
    text = _header(request, name)
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


def _opening(messages: tuple[ChatMessage, ...]) -> str:
    """Name a chat by its messages up to the first one of its user.

    It serves callers that send no chat id: the opening stays the same when
    the chat returns.
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
