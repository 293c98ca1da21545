"""
bergamotshed.sockets
~~~~~~~~~~~~~~~~~~~~

Sockets that listen from the start of the process, and keepalive options that
detect dead TCP connections.
"""

__all__ = (
    'BACKLOG',
    'RECEIVE_BUFFER_BYTES',
    'Listeners',
    'enable_keepalive',
    'keepalive_socket',
    'listen',
    'listen_on_all',
    'set_reset_on_close',
    'time_since_receive',
)

import socket
import struct
from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import Any, Protocol

#: Connections that may wait to be accepted: as many as callers open during
#: the second in which a process starts. The kernel's own limit is the same.
BACKLOG = 4096
#: Bytes that the kernel keeps of a connection until they are read. Its own
#: limit grows with the connection, to megabytes.
RECEIVE_BUFFER_BYTES = 65_536
#: How long sent data may stay unacknowledged before the kernel closes the
#: connection.
UNACKNOWLEDGED_LIMIT = timedelta(milliseconds=2500)
#: Keepalive probes of an idle connection: idle time before the first probe,
#: interval between probes, and unanswered probes before the kernel closes the
#: connection.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
#: Format and offset, in Linux's ``tcp_info``, of the milliseconds since data
#: was last received.
LAST_RECEIVED_MS_FORMAT = struct.Struct('=I')
LAST_RECEIVED_OFFSET_BYTES = 52
#: The kernel's ``struct linger``: whether it is enabled, and for how many
#: seconds a close waits for unsent data; zero resets the connection.
LINGER_FORMAT = struct.Struct('=ii')


#: Listening sockets by address ``ip:port``.
Listeners = Mapping[str, socket.socket]


class OptionSocket(Protocol):
    """Option methods that sockets and asyncio's transport sockets share."""

    def setsockopt(self, level: int, name: int, number: int | bytes) -> Any:
        """Set a socket option."""

    def getsockopt(self, level: int, name: int, size: int) -> Any:
        """Return the value of a socket option."""


def enable_keepalive(
    tcp_socket: OptionSocket, unacknowledged: timedelta = UNACKNOWLEDGED_LIMIT
) -> None:
    """Let the kernel close a connection whose peer no longer responds.

    :param unacknowledged: how long sent data may stay unacknowledged
    """
    limit = unacknowledged // timedelta(milliseconds=1)
    tcp = socket.IPPROTO_TCP
    tcp_socket.setsockopt(tcp, socket.TCP_USER_TIMEOUT, limit)
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp_socket.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    tcp_socket.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    tcp_socket.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def listen_on_all(addresses: Iterable[str]) -> Listeners:
    """Listen on addresses before the process can serve requests.

    Startup takes most of a second, mainly to import libraries. Callers that
    connect during it wait until it is complete instead of being refused.

    :raises OSError: an address is in use
    """
    return {address: listen(address) for address in addresses}


def listen(address: str) -> socket.socket:
    """Listen on an address; the kernel queues connections until accepted.

    :param address: ``ip:port``
    :raises OSError: the address is in use
    """
    host, _, port = address.rpartition(':')
    host = host.strip('[]')
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted connections inherit it.
    listener.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    try:
        listener.bind((host, int(port)))
    except OSError:
        listener.close()
        raise
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener


def keepalive_socket(address: tuple[Any, ...]) -> socket.socket:
    """Create a socket with keepalive for a connection yet to be opened.

    :param address: an entry of :func:`socket.getaddrinfo`: family, type,
        protocol and further fields
    """
    family, kind, protocol, *_ = address
    new_socket = socket.socket(family, kind, protocol)
    enable_keepalive(new_socket)
    return new_socket


def set_reset_on_close(tcp_socket: OptionSocket, *, is_enabled: bool) -> None:
    """Choose whether closing a connection resets it.

    It applies however the connection is closed, also by the end of the
    process.
    """
    linger = LINGER_FORMAT.pack(is_enabled, 0)
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def time_since_receive(connection: OptionSocket) -> timedelta:
    """Return the time since data was last received on a TCP connection.

    :raises OSError: the kernel does not provide it
    """
    end = LAST_RECEIVED_OFFSET_BYTES + LAST_RECEIVED_MS_FORMAT.size
    tcp_info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, end)
    if len(tcp_info) < end:
        raise OSError('the kernel returned a truncated tcp_info')
    received = LAST_RECEIVED_MS_FORMAT.unpack_from(
        tcp_info, LAST_RECEIVED_OFFSET_BYTES
    )
    return timedelta(milliseconds=received[0])
