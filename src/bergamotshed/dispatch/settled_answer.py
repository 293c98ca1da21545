"""
bergamotshed.dispatch.settled_answer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A chat's whole answer as it is kept for repeats of its key.
"""

__all__ = ('decode_settled_answer', 'encode_settled_answer')

from msgspec import Struct, json

from ..control.types import SettledAnswer
from ..engines.types import Chunk, Finish

HTTP_OK = 200


class SettledChat(Struct):
    """The kept text and finish event."""

    text: str
    finish: Finish


def encode_settled_answer(text: str, finish: Finish) -> SettledAnswer:
    """Encode a whole answer."""
    return SettledAnswer(HTTP_OK, json.encode(SettledChat(text, finish)))


def decode_settled_answer(answer: SettledAnswer) -> tuple[Chunk, Finish]:
    """Decode a kept answer into one chunk and its finish event.

    :raises msgspec.DecodeError: it is no chat's answer
    """
    kept = json.decode(answer.body, type=SettledChat)
    finish = kept.finish
    return Chunk(finish.request, finish.attempt, 0, kept.text), finish
