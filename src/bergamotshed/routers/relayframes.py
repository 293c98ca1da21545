"""
bergamotshed.routers.relayframes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Frames in which a router sends the answer to a request that it forwards for a
peer: a length of four bytes, big-endian, and a tagged MessagePack array. A new
field may only be appended, with a default; tags are never reused.
"""

__all__ = (
    'MAX_PIECE_BYTES',
    'AnswerEnd',
    'AnswerHeadFrame',
    'AnswerPiece',
    'RelayFrame',
    'RelayFrameError',
    'RelayedFailure',
    'RelayedRefusal',
    'encode_frame',
    'read_frame',
)

import asyncio
from typing import Protocol

import msgspec

from ..decoding import DECODE_ERRORS
from .errors import PeerMessageError

LENGTH_BYTES = 4
#: Longer pieces of an answer are split.
MAX_PIECE_BYTES = 262_144
#: A piece, or the longest head that is read from an upstream, with its frame.
MAX_FRAME_BYTES = MAX_PIECE_BYTES + 65_536


class RelayFrameError(PeerMessageError):
    """A frame is malformed, too long or incomplete."""


class AnswerHeadFrame(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Begins an answer.

    :ivar is_stream: the answer is passed on as it arrives, so that it may
        break off
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    is_stream: bool


class AnswerPiece(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A part of the body."""

    body: bytes


class AnswerEnd(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Ends a complete answer."""


class RelayedRefusal(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The request did not run.

    :ivar reason: value of the :class:`~bergamotshed.reasons.Reason`
    :ivar retry_after: milliseconds; negative for none
    """

    reason: str
    retry_after: int
    detail: str


class RelayedFailure(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """There is no answer, but the request may have run."""

    reason: str
    detail: str
    has_timed_out: bool


RelayFrame = (
    AnswerHeadFrame | AnswerPiece | AnswerEnd | RelayedRefusal | RelayedFailure
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(RelayFrame)


class ByteReader(Protocol):
    """The source of frames."""

    async def readexactly(self, count: int) -> bytes:
        """Return as many bytes, or raise ``IncompleteReadError``."""


def encode_frame(frame: RelayFrame) -> bytes:
    """Return the bytes of a frame."""
    payload = _encoder.encode(frame)
    return len(payload).to_bytes(LENGTH_BYTES, 'big') + payload


async def read_frame(reader: ByteReader) -> RelayFrame:
    """Read the next frame.

    :raises RelayFrameError: there is none that is whole and well-formed
    """
    try:
        prefix = await reader.readexactly(LENGTH_BYTES)
        length = int.from_bytes(prefix, 'big')
        if length > MAX_FRAME_BYTES:
            raise RelayFrameError(f'a frame of {length} bytes')
        return _decoder.decode(await reader.readexactly(length))
    except asyncio.IncompleteReadError as error:
        raise RelayFrameError('the answer ended within a frame') from error
    except DECODE_ERRORS as error:
        raise RelayFrameError(f'malformed frame: {error}') from error
