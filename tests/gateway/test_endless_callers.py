"""Callers that send bytes without end."""

import asyncio
import tracemalloc

import pytest

from .scripts import fine
from .support import HOST, KEY, running_gateway, send_request

#: Most memory that one such caller may take: twice the longest body.
MAX_TAKEN_BYTES = 16_777_216
SENDING_S = 1.0
BLOCK = 16_384
REQUEST = (
    f'POST /once/a HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n'
    'Bergamotshed-Attempt-Id: a1\r\n'
).encode()
CHUNKED = REQUEST + b'Transfer-Encoding: chunked\r\n\r\n'

# name: (bytes before, bytes that are repeated without end)
ENDLESS: dict[str, tuple[bytes, bytes]] = {
    'a request line': (b'POST /once/', b'a' * BLOCK),
    'blank lines': (b'', b'\r\n' * BLOCK),
    'one header line': (REQUEST + b'Y: ', b'y' * BLOCK),
    'many header lines': (REQUEST, b'Y: yyyyyyyyyyyyyyyy\r\n' * 512),
    'a chunk size': (CHUNKED, b'0' * BLOCK),
    'a chunk extension': (CHUNKED + b'5;', b'e' * BLOCK),
    'extensions of small chunks': (
        CHUNKED,
        b'1;' + b'e' * BLOCK + b'\r\nx\r\n',
    ),
    'a body': (CHUNKED, b'4000\r\n' + b'x' * BLOCK + b'\r\n'),
    'a trailer': (CHUNKED + b'2\r\nok\r\n0\r\nT: ', b't' * BLOCK),
    'many trailers': (CHUNKED + b'2\r\nok\r\n0\r\n', b'T: ttt\r\n' * 512),
    'requests': (b'', (REQUEST + b'Content-Length: 0\r\n\r\n') * 100),
}


async def send_on(writer: asyncio.StreamWriter, repeated: bytes) -> None:
    """Send until the peer closes or the time is over."""
    try:
        async with asyncio.timeout(SENDING_S):
            while True:
                writer.write(repeated)
                await writer.drain()
                await asyncio.sleep(0)
    except (TimeoutError, ConnectionError):
        writer.transport.abort()


@pytest.mark.parametrize('name', ENDLESS)
async def test_bytes_of_a_caller_without_end_are_not_kept(name: str) -> None:
    before, repeated = ENDLESS[name]
    async with running_gateway(fine) as env:
        tracemalloc.start()
        _, writer = await asyncio.open_connection('127.0.0.1', env.port)
        writer.write(before)
        await send_on(writer, repeated)
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert peak_bytes < MAX_TAKEN_BYTES
        assert (await send_request(env.port, '/once/b')).status == 200
