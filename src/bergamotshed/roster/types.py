"""
bergamotshed.roster.types
~~~~~~~~~~~~~~~~~~~~~~~~~

The entry with which a router announces itself in the store.
"""

__all__ = ('RosterEntry', 'decode_entry', 'encode_entry')

from msgspec import Struct, json

from ..decoding import DECODE_ERRORS

_encoder = json.Encoder()


class RosterEntry(Struct, frozen=True):
    """One router.

    :ivar callers: ``ip:port`` where callers connect
    :ivar peers: ``ip:port`` where other routers connect
    :ivar domain: failure domain
    :ivar started: Unix time of its start in milliseconds
    :ivar leaving: it is shutting down
    :ivar relay: ``ip:port`` where it takes requests from other routers; empty
        if it takes none
    """

    name: str
    callers: str
    peers: str
    domain: str
    started: int
    leaving: bool = False
    relay: str = ''


_decoder = json.Decoder(RosterEntry)


def encode_entry(entry: RosterEntry) -> bytes:
    """Return the stored form of the entry."""
    return _encoder.encode(entry)


def decode_entry(value: bytes) -> RosterEntry | None:
    """Return a stored entry; ``None`` if it is malformed."""
    try:
        return _decoder.decode(value)
    except DECODE_ERRORS:
        return None
