"""
tests.standins.resetting
~~~~~~~~~~~~~~~~~~~~~~~~

An upstream that resets the connection right behind the bytes it sends.
"""

__all__ = ('ResettingUpstream', 'read_from_resetting_upstream')

import asyncio
import socket
import struct
import threading
from collections.abc import Awaitable, Callable
from typing import TypeVar

from tests.waiting import until

T = TypeVar('T')

TIMEOUT_S = 5


class ResettingUpstream(threading.Thread):
    """Answers one request and resets the connection immediately afterwards.

    A thread, so that both are in the client's socket before its event loop
    reads either.
    """

    def __init__(self, listener: socket.socket, payload: bytes) -> None:
        super().__init__(daemon=True)
        self.request_received = threading.Event()
        self.may_answer = threading.Event()
        self.has_reset = threading.Event()
        self._listener = listener
        self._payload = payload

    def run(self) -> None:
        """Serve the request."""
        accepted, _ = self._listener.accept()
        accepted.recv(65_536)
        self.request_received.set()
        self.may_answer.wait(TIMEOUT_S)
        accepted.sendall(self._payload)
        linger = struct.pack('ii', 1, 0)
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        accepted.close()
        self.has_reset.set()


async def read_from_resetting_upstream(
    payload: bytes, exchange: Callable[[str], Awaitable[T]]
) -> T:
    """Run an exchange whose answer and reset arrive together.

    :param payload: the bytes before the reset
    :param exchange: takes the upstream's ``ip:port``
    """
    with socket.create_server(('127.0.0.1', 0)) as listener:
        listener.settimeout(TIMEOUT_S)
        upstream = ResettingUpstream(listener, payload)
        upstream.start()
        address = f'127.0.0.1:{listener.getsockname()[1]}'
        task = asyncio.ensure_future(exchange(address))
        await until(upstream.request_received.is_set)
        # Blocks the event loop until both data and reset are in the socket.
        upstream.may_answer.set()
        upstream.has_reset.wait(TIMEOUT_S)
        return await task
