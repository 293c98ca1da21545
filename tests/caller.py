"""
tests.caller
~~~~~~~~~~~~

A test client that checks each answer against its own request.
"""

__all__ = ('Reply', 'call', 'chat', 'fetch_entry_addresses')

import json
import time
from dataclasses import dataclass, field
from typing import Any

from aiohttp import ClientError, ClientResponse, ClientSession, ClientTimeout

from .standins.answers import answer_text, digest

CALL_TIMEOUT_S = 30.0
CONNECT_TIMEOUT_S = 1
REFUSED = 'refused, not run'
UNKNOWN = 'outcome unknown'
FAILED = 'failed'


@dataclass(slots=True)
class Reply:
    """The answer to one request, and what happened to its connection.

    :ivar expected: text of the complete answer
    :ivar digest: hash of the messages, as in the engines' run records
    :ivar status: HTTP status; 0 when no answer arrived
    :ivar is_finished: whether the answer says that it is complete
    :ivar is_broken: whether the exchange ended with a connection error or a
        timeout
    :ivar has_connected: False when the connection attempt failed
    :ivar content: the decoded JSON body of an answer that is not streamed
    :ivar seconds: duration of the exchange
    :ivar address: address of the router that the request was sent to
    """

    expected: str = ''
    digest: str = ''
    status: int = 0
    text: str = ''
    is_finished: bool = False
    is_broken: bool = False
    has_connected: bool = True
    error: dict[str, Any] = field(default_factory=dict)
    usage: dict[str, Any] = field(default_factory=dict)
    headers: dict[str, str] = field(default_factory=dict)
    content: Any = None
    seconds: float = 0
    address: str = ''

    @property
    def is_complete(self) -> bool:
        """Return whether the complete answer to this request arrived."""
        return self.is_finished and self.text == self.expected

    @property
    def is_correct_so_far(self) -> bool:
        """Return whether the text is a prefix of the expected answer.

        An answer that says it is complete must be the whole expected text.
        """
        if self.is_finished and not self.is_complete:
            return False
        return self.expected.startswith(self.text)

    @property
    def type(self) -> str:
        """Return the error type of the answer, or an empty string."""
        return str(self.error.get('type', ''))

    @property
    def reason(self) -> str:
        """Return the error reason of the answer, or an empty string."""
        return str(self.error.get('reason', ''))

    @property
    def cached_tokens(self) -> int:
        """Return how many prompt tokens came from the prefix cache."""
        details = self.usage.get('prompt_tokens_details', {})
        return int(details.get('cached_tokens', 0))


async def chat(
    session: ClientSession,
    address: str,
    messages: list[dict[str, str]],
    *,
    organisation: str = 'quito-central',
    model: str = 'route-notes',
    stream: bool = True,
    max_tokens: int = 256,
    timeout_s: float = CALL_TIMEOUT_S,
    **headers: str,
) -> Reply:
    """Send one chat completion.

    :param headers: further request headers; ``chat_id=`` becomes
        ``X-Chat-Id`` and ``key=`` ``Idempotency-Key``
    """
    body = {
        'model': model,
        'messages': messages,
        'stream': stream,
        'max_tokens': max_tokens,
    }
    reply = Reply(answer_text(messages, max_tokens), digest(messages))
    url = f'http://{address}/v1/chat/completions'
    await _post(session, url, body, organisation, headers, reply, timeout_s)
    return reply


async def call(
    session: ClientSession,
    address: str,
    service: str,
    name: str,
    body: dict[str, Any],
    *,
    organisation: str = 'quito-central',
    timeout_s: float = CALL_TIMEOUT_S,
    **headers: str,
) -> Reply:
    """Send one call to a plain service; headers as for :func:`chat`."""
    url = f'http://{address}/v1/services/{service}/{name}'
    reply = Reply()
    await _post(session, url, body, organisation, headers, reply, timeout_s)
    return reply


async def fetch_entry_addresses(
    session: ClientSession, address: str
) -> list[str]:
    """Return the entry addresses that a router lists."""
    async with session.get(f'http://{address}/v1/entries') as response:
        content = await response.json()
        return list(content['addresses'])


async def _post(
    session: ClientSession,
    url: str,
    body: dict[str, Any],
    organisation: str,
    headers: dict[str, str],
    reply: Reply,
    timeout_s: float,
) -> None:
    timeout = ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
    start_time = time.monotonic()
    request_headers = {'X-Organisation': organisation}
    request_headers |= {
        _header_name(name): value for name, value in headers.items()
    }
    reply.address = url.split('/')[2]
    try:
        async with session.post(
            url, json=body, headers=request_headers, timeout=timeout
        ) as response:
            reply.status = response.status
            reply.headers = dict(response.headers)
            await _read_answer(response, reply)
    except (ClientError, TimeoutError) as error:
        reply.is_broken = True
        reply.has_connected = 'Connect call failed' not in str(error)
    reply.seconds = time.monotonic() - start_time


def _header_name(name: str) -> str:
    if name == 'key':
        return 'Idempotency-Key'
    return 'X-' + name.replace('_', '-').title()


async def _read_answer(response: ClientResponse, reply: Reply) -> None:
    if response.content_type == 'text/event-stream':
        async for line in response.content:
            _apply_event(line.decode().strip(), reply)
        return
    reply.content = json.loads(await response.read() or b'{}')
    reply.error = reply.content.get('error', {})
    for choice in reply.content.get('choices', ()):
        reply.text = choice['message']['content']
        reply.usage = reply.content['usage']
        reply.is_finished = bool(choice['finish_reason'])


def _apply_event(line: str, reply: Reply) -> None:
    if not line.startswith('data: '):
        return
    if line == 'data: [DONE]':
        reply.is_finished = True
        return
    event = json.loads(line.removeprefix('data: '))
    reply.error = event.get('error', reply.error)
    reply.usage = event.get('usage', reply.usage)
    for choice in event.get('choices', ()):
        reply.text += choice['delta'].get('content', '')
