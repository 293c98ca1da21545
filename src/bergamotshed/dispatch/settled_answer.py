"""
bergamotshed.dispatch.settled_answer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Encodes a chat's complete answer for storage under its idempotency key.
"""

__all__ = ('decode_settled_answer', 'encode_settled_answer')

from msgspec import Struct, json

from ..control.types import SettledAnswer
from ..engines.types import Chunk, Finish

HTTP_OK = 200


class SettledChat(Struct):
    """The stored text and finish event."""

    text: str
    finish: Finish


def encode_settled_answer(text: str, finish: Finish) -> SettledAnswer:
    """Encode a complete answer."""
    return SettledAnswer(HTTP_OK, json.encode(SettledChat(text, finish)))


def decode_settled_answer(answer: SettledAnswer) -> tuple[Chunk, Finish]:
    """Decode a stored answer into one chunk and its finish event.

    :raises msgspec.DecodeError: the answer is not that of a chat
    """
    settled_chat = json.decode(answer.body, type=SettledChat)
    finish = settled_chat.finish
    return Chunk(finish.request, finish.attempt, 0, settled_chat.text), finish
