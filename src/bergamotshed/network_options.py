"""
bergamotshed.network_options
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Options of the settings file that hold network addresses.
"""

__all__ = ('Address', 'AddressList', 'IpAddress', 'Port', 'Url')

from ipaddress import ip_address
from urllib.parse import urlsplit

from .options import Integer, Option

MAX_PORT = 65_535


class IpAddress(Option[str]):
    """An IP address; host names are not resolved."""

    expected = 'an IP address such as 10.0.0.4'

    def parse(self, text: str) -> str:
        """Return the address in its canonical form."""
        return str(ip_address(text))


class Port(Integer):
    """A TCP port; 0 lets the operating system choose one."""

    def __init__(self) -> None:
        super().__init__(0, MAX_PORT)


class Url(Option[str]):
    """An HTTP or HTTPS URL, stored without a trailing slash."""

    expected = 'an http:// or https:// address'

    def parse(self, text: str) -> str:
        """Return the URL without a trailing slash."""
        parts = urlsplit(text)
        if parts.scheme not in {'http', 'https'} or not parts.hostname:
            raise ValueError(text)
        return text.rstrip('/')


class Address(Option[str]):
    """An address of the form ``ip:port``."""

    expected = 'ip:port'

    def parse(self, text: str) -> str:
        """Return the address."""
        return _check_address(text)


class AddressList(Option[tuple[str, ...]]):
    """Addresses of the form ``ip:port``, separated by commas."""

    expected = 'ip:port, or several separated by commas'

    def parse(self, text: str) -> tuple[str, ...]:
        """Return the addresses."""
        return tuple(_check_address(part.strip()) for part in text.split(','))


def _check_address(text: str) -> str:
    host, separator, port = text.rpartition(':')
    if not separator or not 0 < int(port) <= MAX_PORT:
        raise ValueError(text)
    ip_address(host.strip('[]'))
    return text
