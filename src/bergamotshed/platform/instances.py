"""
bergamotshed.platform.instances
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decodes the entries with which upstreams register themselves in the store.
"""

__all__ = ('PlatformInstanceDecoder',)

from ipaddress import AddressValueError, IPv4Address
from typing import Annotated

from msgspec import Meta, Struct, field
from msgspec.json import Decoder

from ..decoding import DECODE_ERRORS, parse_number
from ..upstreams.registry import InstanceDecoder, InstanceMalformed
from ..upstreams.types import Instance

READY = 'ready'
DRAINING = 'draining'
MAX_PORT = 65_535

#: Counts travel between routers as 64-bit integers.
Count = Annotated[int, Meta(ge=0, le=2**63 - 1)]


class ModelBody(Struct):
    """A model that an upstream serves."""

    name: str


class ServerBody(Struct):
    """The entry of an upstream.

    :ivar zone: its failure domain
    :ivar sequence: counts its reports since its start
    :ivar born: Unix time of its start in milliseconds
    :ivar version: of its software, not of its entry or its models
    """

    service: str
    address: str
    zone: str
    slots: Count
    state: str
    sequence: Count
    born: Count = 0
    version: str = ''
    models: list[ModelBody] = field(default_factory=list)


_decoder = Decoder(ServerBody)


class PlatformInstanceDecoder(InstanceDecoder):
    """Decodes the entries from JSON."""

    def decode(self, name: str, value: bytes) -> Instance:
        """Decode an entry."""
        try:
            body = _decoder.decode(value)
        except DECODE_ERRORS as error:
            raise InstanceMalformed(str(error)) from error
        if not _is_header_value(name):
            raise InstanceMalformed('the name does not fit into a header')
        if body.state not in {READY, DRAINING}:
            raise InstanceMalformed(f'unknown state {body.state!r}')
        if not _is_address(body.address):
            raise InstanceMalformed(f'malformed address {body.address!r}')
        return Instance(
            name=name,
            service=body.service,
            address=body.address,
            domain=body.zone,
            slots=max(1, body.slots),
            leaving=body.state == DRAINING,
            born=body.born,
            sequence=body.sequence,
            models=frozenset(model.name for model in body.models),
            version=body.version,
        )


def _is_header_value(name: str) -> bool:
    return name.isascii() and name.isprintable() and name.split() == [name]


def _is_address(text: str) -> bool:
    host, _, port_text = text.rpartition(':')
    port = parse_number(port_text)
    if port is None or not 0 < port <= MAX_PORT:
        return False
    try:
        IPv4Address(host)
    except AddressValueError:
        return False
    return True
