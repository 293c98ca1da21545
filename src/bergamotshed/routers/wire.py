"""
bergamotshed.routers.wire
~~~~~~~~~~~~~~~~~~~~~~~~~

Encodes and decodes the frames between routers.
"""

__all__ = ('Envelope', 'decode', 'encode')

from msgspec import Struct
from msgspec.msgpack import Decoder, Encoder

from ..decoding import DECODE_ERRORS
from .errors import PeerMessageError
from .messages import Message


class Envelope(Struct, frozen=True, array_like=True):
    """A message and the question that it belongs to.

    :ivar question: number of the question, negated in its answer; 0 in a
        message that is neither
    """

    question: int
    message: Message


_ENCODER = Encoder()
_DECODER = Decoder(Envelope)


def encode(question: int, message: Message) -> bytes:
    """Return the bytes of one frame."""
    return _ENCODER.encode(Envelope(question, message))


def decode(frame: bytes) -> Envelope:
    """Parse one frame.

    :raises PeerMessageError: if the frame is not a valid message
    """
    try:
        return _DECODER.decode(frame)
    except DECODE_ERRORS as error:
        raise PeerMessageError(str(error)) from error
