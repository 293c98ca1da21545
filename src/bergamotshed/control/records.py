"""
bergamotshed.control.records
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Records of the log's stream ``configuration``, in MessagePack; large ones
are compressed.
"""

__all__ = (
    'CONFIGURATION_STREAM',
    'ConfigurationRecord',
    'PublishDelta',
    'PublishWhole',
    'Refresh',
    'decode_record',
    'encode_record',
)

import zlib

import msgspec

from ..fleet import Fleet
from ..fleet.delta import FleetDelta

CONFIGURATION_STREAM = 'configuration'


class _Publish(msgspec.Struct, frozen=True, array_like=True):
    publish_id: str
    base: int
    read_to: int


class PublishWhole(_Publish, frozen=True, array_like=True, tag='whole'):
    """An operator's whole configuration.

    :ivar publish_id: the same in each repeat of one publish
    :ivar base: the version that it changes; -1 for none
    :ivar read_to: the offset up to which the writer had read the stream
    """

    fleet: Fleet


class PublishDelta(_Publish, frozen=True, array_like=True, tag='delta'):
    """An operator's changes to the base; fields as in the whole one."""

    delta: FleetDelta


class Refresh(msgspec.Struct, frozen=True, array_like=True, tag='refresh'):
    """The configuration in force, repeated before the log forgets it.

    :ivar version: the version in force
    :ivar read_to: the offset before which that was so; the writer had
        read up to there
    """

    version: int
    read_to: int
    fleet: Fleet


ConfigurationRecord = PublishWhole | PublishDelta | Refresh

PACK_FROM_BYTES = 1024
MAX_UNPACKED_BYTES = 1 << 26
#: The first byte of a compressed record; no MessagePack array begins so.
PACKED = b'\x78'

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[ConfigurationRecord] = (
    msgspec.msgpack.Decoder(ConfigurationRecord)
)


def encode_record(record: ConfigurationRecord) -> bytes:
    """Return the record's bytes."""
    plain = _encoder.encode(record)
    return zlib.compress(plain) if len(plain) >= PACK_FROM_BYTES else plain


def decode_record(payload: bytes) -> ConfigurationRecord | None:
    """Return the record, or None for bytes that are none."""
    try:
        return _decoder.decode(_unpack(payload))
    except (msgspec.DecodeError, zlib.error):
        return None


def _unpack(payload: bytes) -> bytes:
    if payload.startswith(PACKED):
        return zlib.decompressobj().decompress(payload, MAX_UNPACKED_BYTES)
    return payload
