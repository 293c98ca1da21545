"""
bergamotshed.upstreams.instance_checks
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Checks the entries of the list of upstreams, which anyone may have written.
"""

__all__ = ('InstanceMalformed', 'check_instance')

from ipaddress import AddressValueError, IPv4Address

from ..decoding import parse_number
from ..errors import BergamotshedError
from .types import Instance

MAX_PORT = 65_535
#: Counts travel between routers as 64-bit integers.
MAX_COUNT = 2**63 - 1


class InstanceMalformed(BergamotshedError):
    """A stored entry does not describe a usable upstream."""


def check_instance(instance: Instance) -> None:
    """Check what the types of the fields don't ensure.

    :raises InstanceMalformed: the upstream can't be used
    """
    if not _fits_header(instance.name):
        raise InstanceMalformed('the name does not fit into a header')
    if not _is_address(instance.address):
        raise InstanceMalformed(f'malformed address {instance.address!r}')
    for count in (instance.slots, instance.born, instance.sequence):
        if not 0 <= count <= MAX_COUNT:
            raise InstanceMalformed('a count is out of range')


def _fits_header(name: str) -> bool:
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
