"""
bergamotshed.control.claimrecords
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Encoding of the records in the claims streams: each holds several entries.
"""

__all__ = (
    'decode_entries',
    'encode_entries',
    'key_digest',
    'key_time',
    'stream_number',
)

from collections.abc import Sequence
from datetime import UTC, datetime
from hashlib import blake2b
from uuid import UUID

from msgspec import Struct
from msgspec.msgpack import Decoder, Encoder

from ..decoding import DECODE_ERRORS
from ..routing.claimtable import (
    ClaimEntry,
    Entry,
    SettledEntry,
    VoidedEntry,
)

DIGEST_BYTES = 16
LENGTH_PREFIX_BYTES = 4
UUID7_VERSION = 7
UUID7_TIME_SHIFT = 80
MS_PER_S = 1000


class _Claim(Struct, frozen=True, array_like=True, tag=0):
    key: bytes
    run: int


class _Settled(Struct, frozen=True, array_like=True, tag=1):
    key: bytes
    run: int
    status: int
    body: bytes
    content_type: str
    kept: bool


class _Voided(Struct, frozen=True, array_like=True, tag=2):
    key: bytes
    run: int


_ENCODER = Encoder()
_DECODER = Decoder(list[_Claim | _Settled | _Voided])


def key_digest(organisation: str, key: str) -> bytes:
    """Return the digest of an organisation and its idempotency key."""
    name = organisation.encode()
    digest = blake2b(digest_size=DIGEST_BYTES)
    digest.update(len(name).to_bytes(LENGTH_PREFIX_BYTES, 'big'))
    digest.update(name)
    digest.update(key.encode())
    return digest.digest()


def stream_number(organisation: str, key: str, partitions: int) -> int:
    """Return the number of the claims stream that a key belongs to."""
    return key_digest(organisation, key)[0] % partitions


def key_time(key: str) -> datetime | None:
    """Return the time in a UUIDv7 key; ``None`` for any other key."""
    try:
        number = UUID(key)
        if number.version != UUID7_VERSION:
            return None
        milliseconds = number.int >> UUID7_TIME_SHIFT
        return datetime.fromtimestamp(milliseconds / MS_PER_S, UTC)
    except (ValueError, OverflowError):
        return None


def encode_entries(entries: Sequence[Entry]) -> bytes:
    """Return the payload of one record with these entries."""
    return _ENCODER.encode([_to_wire(entry) for entry in entries])


def decode_entries(payload: bytes) -> tuple[Entry, ...]:
    """Parse a payload; one that can't be decoded yields no entries."""
    try:
        wire_entries = _DECODER.decode(payload)
    except DECODE_ERRORS:
        return ()
    return tuple(_from_wire(wire) for wire in wire_entries)


def _to_wire(entry: Entry) -> _Claim | _Settled | _Voided:
    if isinstance(entry, ClaimEntry):
        return _Claim(entry.key, entry.run)
    if isinstance(entry, VoidedEntry):
        return _Voided(entry.key, entry.run)
    return _Settled(
        entry.key,
        entry.run,
        entry.status,
        entry.body,
        entry.content_type,
        entry.kept,
    )


def _from_wire(wire: _Claim | _Settled | _Voided) -> Entry:
    if isinstance(wire, _Claim):
        return ClaimEntry(wire.key, wire.run)
    if isinstance(wire, _Voided):
        return VoidedEntry(wire.key, wire.run)
    return SettledEntry(
        wire.key,
        wire.run,
        wire.status,
        wire.body,
        wire.content_type,
        wire.kept,
    )
