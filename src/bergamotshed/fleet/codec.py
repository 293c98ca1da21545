"""
bergamotshed.fleet.codec
~~~~~~~~~~~~~~~~~~~~~~~~

The configuration as JSON bytes, as operators print and publish it.
"""

__all__ = ('decode_fleet', 'encode_fleet', 'format_fleet')

import msgspec

from ..decoding import DECODE_ERRORS
from .check import check_fleet
from .model import Fleet
from .option_errors import option_error


def encode_fleet(fleet: Fleet) -> bytes:
    """Return the configuration as compact JSON."""
    return msgspec.json.encode(fleet)


def format_fleet(fleet: Fleet) -> str:
    """Return the configuration as readable JSON, indented by two spaces."""
    return msgspec.json.format(encode_fleet(fleet), indent=2).decode()


def decode_fleet(text: bytes, file: str) -> Fleet:
    """Read and check a configuration.

    :param file: name of the source in errors
    :raises OptionError: a key or value is missing or not allowed
    """
    try:
        fleet = msgspec.json.decode(text, type=Fleet)
    except UnicodeDecodeError as error:
        raise option_error(file, 'Expected text in UTF-8') from error
    except DECODE_ERRORS as error:
        raise option_error(file, str(error)) from error
    check_fleet(fleet, file)
    return fleet
