"""
bergamotshed.http_traffic
~~~~~~~~~~~~~~~~~~~~~~~~~

Counts the bytes of HTTP exchanges that belong to control traffic.
"""

__all__ = ('CountTraffic', 'count_exchange', 'ignore_traffic')

from collections.abc import Callable, Iterable

from aiohttp import ClientResponse

CountTraffic = Callable[[str, int, int], None]
"""Records an exchange: the peer's name, bytes sent and bytes received."""

START_LINE_BYTES = 40
SEPARATOR_BYTES = 4


def ignore_traffic(peer: str, sent: int, received: int) -> None:
    """Discard the counts."""


def count_exchange(
    traffic: CountTraffic,
    peer: str,
    response: ClientResponse,
    sent: int,
    received: int,
) -> None:
    """Count one request and its response, including their headers.

    :param sent: bytes of the request body
    :param received: bytes of the response body
    """
    request = response.request_info
    traffic(
        peer,
        sent + _head_size(request.headers.items()) + len(str(request.url)),
        received + _head_size(response.headers.items()),
    )


def _head_size(headers: Iterable[tuple[str, str]]) -> int:
    fields = (len(name) + len(field) for name, field in headers)
    return sum(size + SEPARATOR_BYTES for size in fields) + START_LINE_BYTES
