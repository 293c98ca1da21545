"""
bergamotshed.sockets
~~~~~~~~~~~~~~~~~~~~

Sockets that listen from the start of the process, and options of TCP sockets
that notice a connection which went silent for good.
"""

__all__ = (
    'BACKLOG',
    'Listeners',
    'enable_keepalive',
    'keepalive_socket',
    'listen',
    'listen_to_all',
    'time_since_receive',
)

import socket
import struct
from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import Any, Protocol

#: Connections that may wait to be accepted: those that callers open within
#: the second in which a process starts; the kernel's own limit is the same.
BACKLOG = 4096
#: How long written bytes may stay unacknowledged.
UNACKNOWLEDGED_LIMIT = timedelta(milliseconds=2500)
#: Probes of a connection on which nothing is sent: after how long, how often
#: and how many may go unanswered.
PROBE_AFTER_S = 1
PROBE_EVERY_S = 1
PROBES = 2
#: Where Linux's ``tcp_info`` has the milliseconds since data arrived.
LAST_RECEIVED = struct.Struct('=I')
LAST_RECEIVED_AT = 52


#: Sockets that listen, by address.
Listeners = Mapping[str, socket.socket]


class OptionSocket(Protocol):
    """What sockets and the event loop's stand-ins for them have."""

    def setsockopt(self, level: int, name: int, number: int) -> Any:
        """Set an option."""

    def getsockopt(self, level: int, name: int, size: int) -> Any:
        """Return an option."""


def enable_keepalive(
    watched: OptionSocket, unacknowledged: timedelta = UNACKNOWLEDGED_LIMIT
) -> None:
    """Let the kernel end a connection whose peer answers nothing."""
    limit = unacknowledged // timedelta(milliseconds=1)
    tcp = socket.IPPROTO_TCP
    watched.setsockopt(tcp, socket.TCP_USER_TIMEOUT, limit)
    watched.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    watched.setsockopt(tcp, socket.TCP_KEEPIDLE, PROBE_AFTER_S)
    watched.setsockopt(tcp, socket.TCP_KEEPINTVL, PROBE_EVERY_S)
    watched.setsockopt(tcp, socket.TCP_KEEPCNT, PROBES)


def listen_to_all(addresses: Iterable[str]) -> Listeners:
    """Listen on addresses before the process can serve.

    A start takes most of a second, mostly for libraries. Callers that come
    meanwhile wait for its end instead of finding a closed port.

    :raises OSError: an address is taken
    """
    return {address: listen(address) for address in addresses}


def listen(address: str) -> socket.socket:
    """Listen on an address; the kernel holds connections until they are taken.

    :param address: ``ip:port``
    :raises OSError: the address is taken
    """
    host, _, port = address.rpartition(':')
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listening.bind((host, int(port)))
    except OSError:
        listening.close()
        raise
    listening.listen(BACKLOG)
    listening.setblocking(False)
    return listening


def keepalive_socket(address: tuple[Any, ...]) -> socket.socket:
    """Make the socket of a connection that is about to be opened.

    :param address: family, type, protocol and the rest of an address entry
    """
    family, kind, protocol, *_ = address
    made = socket.socket(family, kind, protocol)
    enable_keepalive(made)
    return made


def time_since_receive(connection: OptionSocket) -> timedelta:
    """Return the time since data arrived on a TCP connection.

    :raises OSError: the kernel does not tell
    """
    end = LAST_RECEIVED_AT + LAST_RECEIVED.size
    told = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, end)
    if len(told) < end:
        raise OSError('the kernel tells too little of the connection')
    received = LAST_RECEIVED.unpack_from(told, LAST_RECEIVED_AT)
    return timedelta(milliseconds=received[0])
