"""
bergamotshed.dispatch.fingerprint
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Stable 64-bit hashes of chats and requests, and the size of a chat's history.
"""

__all__ = (
    'chat_hash',
    'history_tokens',
    'message_hashes',
    'request_fingerprint',
)

from ..routing.hashing import stable_hash
from ..routing.part_sightings import select_parts
from .types import ChatCall

CHARACTERS_PER_TOKEN = 4


def chat_hash(organisation: str, chat: str) -> int:
    """Hash a chat id together with the organisation that it belongs to."""
    return stable_hash(organisation, chat)


def request_fingerprint(call: ChatCall) -> int:
    """Hash the parts that are equal for repeats of one request."""
    parts = [call.options.organisation, call.model, call.adapter]
    for message in call.messages:
        parts.extend((message.role, message.content))
    return stable_hash(*parts)


def message_hashes(call: ChatCall) -> tuple[int, ...]:
    """Hash the messages of a chat, equal for equal messages of any caller."""
    return tuple(
        stable_hash('message', call.model, message.role, message.content)
        for message in select_parts(call.messages)
    )


def history_tokens(call: ChatCall) -> int:
    """Estimate the number of tokens that a warm prefix cache would save."""
    characters = sum(len(message.content) for message in call.messages[:-1])
    return characters // CHARACTERS_PER_TOKEN
