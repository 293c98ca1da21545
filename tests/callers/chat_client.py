"""A caller of the system, as small as can be."""

import json
from dataclasses import dataclass, field
from typing import Any

from aiohttp import ClientSession

ORGANISATION = {'X-Organisation': 'sierra'}


@dataclass
class Told:
    """All that one caller was told."""

    status: int
    headers: dict[str, str]
    text: str = ''
    usage: dict[str, Any] | None = None
    error: dict[str, Any] | None = None
    done: bool = False
    events: list[dict[str, Any]] = field(default_factory=list)

    @property
    def whole(self) -> bool:
        """Tell whether the stream says that it is complete."""
        return self.done and self.usage is not None


def messages(content: str) -> list[dict[str, str]]:
    """Return a chat of one message."""
    return [{'role': 'user', 'content': content}]


async def ask(
    session: ClientSession,
    url: str,
    content: str,
    *,
    stream: bool = True,
    headers: dict[str, str] | None = None,
    **fields: Any,
) -> Told:
    """Send a chat and gather what comes."""
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
        told = Told(response.status, dict(response.headers))
        received = await response.read()
    if told.headers['Content-Type'].startswith('application/json'):
        _take_json(told, json.loads(received))
        return told
    for event in received.decode().split('\n\n'):
        _take_event(told, event)
    return told


def _take_json(told: Told, body: dict[str, Any]) -> None:
    told.error = body.get('error')
    if told.error is None:
        told.text = body['choices'][0]['message']['content']
        told.usage = body['usage']
        told.done = True


def _take_event(told: Told, event: str) -> None:
    name, _, payload = event.rpartition('data: ')
    if payload == '[DONE]':
        told.done = True
    elif name.startswith('event: error'):
        told.error = json.loads(payload)['error']
    elif payload:
        body = json.loads(payload)
        told.events.append(body)
        told.text += body['choices'][0]['delta'].get('content', '')
        told.usage = body.get('usage', told.usage)
