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

from ..decoding import DECODE_ERRORS
from ..fleet import Fleet
from ..fleet.delta import FleetDelta

_PAYLOAD_ERRORS = (zlib.error, *DECODE_ERRORS)

CONFIGURATION_STREAM = 'configuration'


class _Publish(msgspec.Struct, frozen=True, array_like=True):
    publish_id: str
    base: int
    read_to: int


class PublishWhole(_Publish, frozen=True, array_like=True, tag='whole'):
    """A complete configuration published by an operator.

    :ivar publish_id: identifies a publish; equal in its repeats
    :ivar base: version that the publish changes; -1 for none
    :ivar read_to: offset up to which the writer had read the stream
    """

    fleet: Fleet


class PublishDelta(_Publish, frozen=True, array_like=True, tag='delta'):
    """Changes to the base version; fields as in :class:`PublishWhole`."""

    delta: FleetDelta


class Refresh(msgspec.Struct, frozen=True, array_like=True, tag='refresh'):
    """A copy of the configuration in force, appended to outlast retention.

    :ivar version: version in force before the record at ``read_to``
    :ivar read_to: offset up to which the writer had read the stream
    """

    version: int
    read_to: int
    fleet: Fleet


ConfigurationRecord = PublishWhole | PublishDelta | Refresh

COMPRESS_FROM_BYTES = 1024
MAX_DECOMPRESSED_BYTES = 1 << 26
#: First byte of a compressed record; no MessagePack array starts with it.
ZLIB_FIRST_BYTE = b'\x78'

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[ConfigurationRecord] = (
    msgspec.msgpack.Decoder(ConfigurationRecord)
)


def encode_record(record: ConfigurationRecord) -> bytes:
    """Return the record's bytes."""
    encoded = _encoder.encode(record)
    return (
        zlib.compress(encoded)
        if len(encoded) >= COMPRESS_FROM_BYTES
        else encoded
    )


def decode_record(payload: bytes) -> ConfigurationRecord | None:
    """Return the record, or ``None`` if the payload is not a valid record."""
    try:
        return _decoder.decode(_decompress(payload))
    except _PAYLOAD_ERRORS:
        return None


def _decompress(payload: bytes) -> bytes:
    if payload.startswith(ZLIB_FIRST_BYTE):
        return zlib.decompressobj().decompress(payload, MAX_DECOMPRESSED_BYTES)
    return payload
