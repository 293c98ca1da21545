"""
bergamotshed.platform.instances
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decodes the entries with which upstreams register themselves in the store.
"""

__all__ = ('PlatformInstanceDecoder',)

from msgspec import Struct, field
from msgspec.json import Decoder

from ..decoding import DECODE_ERRORS
from ..upstreams.instance_checks import InstanceMalformed, check_instance
from ..upstreams.registry import InstanceDecoder
from ..upstreams.types import Instance

READY = 'ready'
DRAINING = 'draining'


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
    slots: int
    state: str
    sequence: int
    born: int = 0
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
        if body.state not in {READY, DRAINING}:
            raise InstanceMalformed(f'unknown state {body.state!r}')
        instance = Instance(
            name=name,
            service=body.service,
            address=body.address,
            domain=body.zone,
            slots=body.slots or 1,
            leaving=body.state == DRAINING,
            born=body.born,
            sequence=body.sequence,
            models=frozenset(model.name for model in body.models),
            version=body.version,
        )
        check_instance(instance)
        return instance
