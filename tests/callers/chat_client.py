"""A minimal client that sends one chat."""

import json
from dataclasses import dataclass, field
from typing import Any

from aiohttp import ClientSession

ORGANISATION = {'X-Organisation': 'sierra'}


@dataclass
class ChatResponse:
    """All that one caller received.

    :ivar is_done: the answer has its end marker
    """

    status: int
    headers: dict[str, str]
    text: str = ''
    usage: dict[str, Any] | None = None
    error: dict[str, Any] | None = None
    is_done: bool = False
    events: list[dict[str, Any]] = field(default_factory=list)

    @property
    def is_complete(self) -> bool:
        """Return whether the answer has its end marker and its usage."""
        return self.is_done and self.usage is not None


def messages(content: str) -> list[dict[str, str]]:
    """Return the messages of a chat with a single message."""
    return [{'role': 'user', 'content': content}]


async def send_chat(
    session: ClientSession,
    url: str,
    content: str,
    *,
    stream: bool = True,
    headers: dict[str, str] | None = None,
    **fields: Any,
) -> ChatResponse:
    """Send a chat and collect its answer.

    :param fields: further fields of the body
    """
    body = {
        'model': 'draft',
        'messages': messages(content),
        'stream': stream,
        **fields,
    }
    async with session.post(
        f'{url}/v1/chat/completions',
        json=body,
        headers={**ORGANISATION, **(headers or {})},
    ) as response:
        answer = ChatResponse(response.status, dict(response.headers))
        received = await response.read()
    if answer.headers['Content-Type'].startswith('application/json'):
        _read_json(answer, json.loads(received))
        return answer
    for event in received.decode().split('\n\n'):
        _read_event(answer, event)
    return answer


def _read_json(answer: ChatResponse, body: dict[str, Any]) -> None:
    answer.error = body.get('error')
    if answer.error is None:
        answer.text = body['choices'][0]['message']['content']
        answer.usage = body['usage']
        answer.is_done = True


def _read_event(answer: ChatResponse, event: str) -> None:
    name, _, payload = event.rpartition('data: ')
    if payload == '[DONE]':
        answer.is_done = True
    elif name.startswith('event: error'):
        answer.error = json.loads(payload)['error']
    elif payload:
        body = json.loads(payload)
        answer.events.append(body)
        answer.text += body['choices'][0]['delta'].get('content', '')
        answer.usage = body.get('usage', answer.usage)
