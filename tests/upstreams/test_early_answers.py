"""Upstreams that answer a long upload at once and reset the connection while
it is still written.
"""

import asyncio
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import pytest
import uvloop

from bergamotshed.upstreams.connection import UpstreamConnection
from bergamotshed.upstreams.types import UpstreamAnswerBroken

HEAD = b'HTTP/1.1 200 OK\r\nConnection: close\r\n'
PART = b'part of the body'
#: Beginnings of answers by what would end the body.
ANSWERS = {
    'no length': HEAD + b'\r\n' + PART,
    'length': HEAD + b'Content-Length: 99\r\n\r\n' + PART,
    'chunks': HEAD + b'Transfer-Encoding: chunked\r\n\r\n10\r\n' + PART,
    'events': HEAD
    + b'Content-Type: text/event-stream\r\n\r\nid: 0\ndata: x\n\n',
}
UPLOAD_BYTES = (200_000, 6_000_000)
LOOPS: dict[str, Callable[[], asyncio.AbstractEventLoop]] = {
    'asyncio': asyncio.new_event_loop,
    'uvloop': uvloop.new_event_loop,
}
DELAYS_S = (0, 0.0005, 0.003)
REPEATS = 3


@dataclass(frozen=True, slots=True)
class ResettingUpstream:
    """Answers before it has read a request.

    :ivar answer: the bytes that it sends
    :ivar delay_s: time until the reset
    :ivar lingers: unread data cause the reset; otherwise the socket's option
    """

    listener: socket.socket
    answer: bytes
    delay_s: float
    lingers: bool

    def serve(self) -> None:
        """Serve connections until the listener is closed."""
        while True:
            try:
                accepted, _ = self.listener.accept()
            except OSError:
                return
            with accepted:
                accepted.recv(100)
                accepted.sendall(self.answer)
                time.sleep(self.delay_s)
                if not self.lingers:
                    accepted.setsockopt(
                        socket.SOL_SOCKET,
                        socket.SO_LINGER,
                        struct.pack('ii', 1, 0),
                    )


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    with socket.socket() as listening:
        listening.bind(('127.0.0.1', 0))
        listening.listen()
        yield listening
        listening.shutdown(socket.SHUT_RDWR)


async def upload(port: int, size: int) -> bytes:
    """Send a request with a body; return the body of the answer.

    :raises UpstreamAnswerBroken: it is not complete
    """
    connection = UpstreamConnection('upstream')
    loop = asyncio.get_running_loop()
    await loop.create_connection(lambda: connection, '127.0.0.1', port)
    head = b'POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n' % size
    connection.send(head + bytes(size))
    try:
        async with asyncio.timeout(5):
            await connection.read_head()
            return await connection.read_body()
    finally:
        connection.close()


@pytest.mark.parametrize('lingers', [False, True], ids=['option', 'unread'])
@pytest.mark.parametrize('delay_s', DELAYS_S)
@pytest.mark.parametrize('name', ANSWERS)
@pytest.mark.parametrize('loop_name', LOOPS)
def test_an_early_answer_that_is_reset_is_not_complete(
    loop_name: str,
    name: str,
    delay_s: float,
    lingers: bool,
    listener: socket.socket,
) -> None:
    upstream = ResettingUpstream(listener, ANSWERS[name], delay_s, lingers)
    threading.Thread(target=upstream.serve, daemon=True).start()
    loop = LOOPS[loop_name]()
    port = listener.getsockname()[1]
    for size in UPLOAD_BYTES * REPEATS:
        with pytest.raises(UpstreamAnswerBroken):
            loop.run_until_complete(upload(port, size))
    loop.close()
