"""
bergamotshed.routers.ratemessages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Messages between gateways about upstreams that limit their requests a second.
"""

__all__ = (
    'LimitRecord',
    'LimitsKnown',
    'LimitsRequest',
    'RateAnswer',
    'RateRequest',
)

from msgspec import Struct


class RateRequest(Struct, frozen=True, array_like=True, tag=29):
    """Asks the home of an upstream for leave to send one request.

    :ivar born: start time of the upstream, as reported by itself
    :ivar rate: its limit in requests a second, as the sender knows it
    :ivar max_wait: longest wait in milliseconds before the request is sent
    """

    upstream: str
    born: int
    rate: float
    max_wait: int


class RateAnswer(Struct, frozen=True, array_like=True, tag=30):
    """Leave to send, or not.

    :ivar wait: milliseconds before sending, or before asking again
    """

    is_granted: bool
    wait: int


class LimitRecord(Struct, frozen=True, array_like=True):
    """What an upstream named.

    :ivar rate: requests a second; ``None`` if it names no limit any more
    :ivar age: milliseconds since the answer that named it
    """

    upstream: str
    born: int
    rate: float | None
    age: int


class LimitsKnown(Struct, frozen=True, array_like=True, tag=31):
    """Limits that the sender knows; empty to confirm a notice."""

    records: tuple[LimitRecord, ...] = ()


class LimitsRequest(Struct, frozen=True, array_like=True, tag=32):
    """Asks for the limits that the receiver knows; sent at the start."""
