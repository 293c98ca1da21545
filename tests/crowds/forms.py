"""
tests.crowds.forms
~~~~~~~~~~~~~~~~~~

What the clients of a crowd send, as data.
"""

__all__ = (
    'GATEWAY_LARGE_REQUEST',
    'GATEWAY_REQUEST',
    'IDLE',
    'PEER_FORMS',
    'REQUEST_FORMS',
    'ROUTER_REQUEST',
    'Form',
    'Target',
)

import zlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import chain, repeat

BLOCK = 16_384
MEGABYTE = 1_048_576
#: Bytes that are missing at the end of what is stopped short.
MISSING_BYTES = 10
LONG_LINE = b'Y: ' + b'y' * 60_000 + b'\r\n'
#: Length of a compressed body after it is expanded.
EXPANDED_BYTES = 67_108_864
SHORT_LINES = b''.join(b'Y%d: y\r\n' % number for number in range(200))


@dataclass(frozen=True, slots=True)
class Target:
    """The request that a crowd spoils.

    :ivar head: request line and headers, without the blank line
    :ivar large_head: the same, of a request with a large answer
    :ivar max_body: longest body that the program takes
    """

    head: bytes
    large_head: bytes
    max_body: int


@dataclass(frozen=True, slots=True)
class Form:
    """One kind of client.

    :ivar blocks: returns what a client sends
    :ivar leaves: it resets its connection after that instead of keeping it
    """

    blocks: Callable[[Target], Iterator[bytes]]
    leaves: bool = False


GATEWAY_REQUEST = (
    b'POST /once/a HTTP/1.1\r\nHost: h.example\r\n'
    b'Authorization: Bearer key-1\r\nBergamotshed-Attempt-Id: a1\r\n'
)
GATEWAY_LARGE_REQUEST = GATEWAY_REQUEST.replace(b'/once/a', b'/once/large')
ROUTER_REQUEST = (
    b'POST /v1/chat/completions HTTP/1.1\r\nHost: h.example\r\n'
    b'X-Organisation: quito-central\r\nContent-Type: application/json\r\n'
)


def endless(before: bytes, repeated: bytes) -> Callable[[], Iterator[bytes]]:
    return lambda: chain((before,), repeat(repeated))


def _head_form(before: bytes, repeated: bytes) -> Form:
    return Form(lambda target: endless(target.head + before, repeated)())


def _bare_form(before: bytes, repeated: bytes) -> Form:
    return Form(lambda _target: endless(before, repeated)())


def _chunk_form(before: bytes, repeated: bytes) -> Form:
    return Form(
        lambda target: endless(
            target.head + b'Transfer-Encoding: chunked\r\n\r\n' + before,
            repeated,
        )()
    )


def _chunked(size: int) -> Callable[[Target], Iterator[bytes]]:
    """Return a body in chunks of a size that stops just short of its end."""

    def blocks(target: Target) -> Iterator[bytes]:
        yield target.head + b'Transfer-Encoding: chunked\r\n\r\n'
        chunk = b'%x\r\n%s\r\n' % (size, b'z' * size)
        in_block = max(1, BLOCK // len(chunk))
        whole, rest = divmod(target.max_body // size - 1, in_block)
        yield from repeat(chunk * in_block, whole)
        yield chunk * rest
        yield chunk[:-MISSING_BYTES]

    return blocks


def _announced(target: Target) -> Iterator[bytes]:
    yield target.head + b'Content-Length: %d\r\n\r\n' % target.max_body
    blocks, rest = divmod(target.max_body - MISSING_BYTES, BLOCK)
    yield from repeat(b'z' * BLOCK, blocks)
    yield b'z' * rest


def _half_announced(target: Target) -> Iterator[bytes]:
    yield target.head + b'Content-Length: %d\r\n\r\n' % target.max_body
    yield from repeat(b'z' * BLOCK, target.max_body // BLOCK // 2)


def _compressed(target: Target) -> Iterator[bytes]:
    body = zlib.compress(bytes(EXPANDED_BYTES))
    return repeat(
        target.head
        + b'Content-Encoding: deflate\r\n'
        + b'Content-Length: %d\r\n\r\n' % len(body)
        + body
    )


def _pipelined(body: bytes, more_headers: bytes = b'') -> Form:
    def blocks(target: Target) -> Iterator[bytes]:
        length = b'Content-Length: %d\r\n\r\n' % len(body)
        return repeat(target.head + more_headers + length + body)

    return Form(blocks)


#: Connections on which nothing is ever sent.
IDLE = Form(lambda _target: iter(()))

REQUEST_FORMS = {
    'request line without end': _bare_form(b'POST /once/', b'a' * BLOCK),
    'blank lines before a request': _bare_form(b'', b'\r\n' * BLOCK),
    'blank lines of line feeds': _bare_form(b'', b'\n' * BLOCK),
    'header line without end': _head_form(b'Y: ', b'y' * BLOCK),
    'header name without end': _head_form(b'', b'y' * BLOCK),
    'short header lines without end': _head_form(b'', SHORT_LINES),
    'long header lines without end': _head_form(b'', LONG_LINE),
    'head over the limit that stops short of its end': Form(
        lambda target: chain((target.head,), repeat(LONG_LINE, 100))
    ),
    'whole head over the limit': Form(
        lambda target: chain(
            (target.head,),
            repeat(LONG_LINE, 100),
            (b'Content-Length: 0\r\n\r\n',),
        )
    ),
    'whole head of many short lines': Form(
        lambda target: iter((target.head + SHORT_LINES + b'\r\n',))
    ),
    'announced bodies that stop short of their end': Form(_announced),
    'announced bodies whose clients leave': Form(_half_announced, leaves=True),
    'chunks of a megabyte that stop short of their end': Form(
        _chunked(MEGABYTE)
    ),
    'chunks of a kilobyte that stop short of their end': Form(_chunked(1024)),
    'chunks of a byte that stop short of their end': Form(_chunked(1)),
    'heads whose clients leave': Form(
        lambda target: iter((target.head,)), leaves=True
    ),
    'announced body that arrives byte by byte': Form(
        lambda target: chain(
            (target.head + b'Content-Length: %d\r\n\r\n' % target.max_body,),
            repeat(b'z'),
        )
    ),
    'compressed bodies far over the limit': Form(_compressed),
    'bytes without end after an upgrade': _head_form(
        b'Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n', b'z' * BLOCK
    ),
    'large answers that are not read': Form(
        lambda target: repeat(target.large_head + b'Content-Length: 0\r\n\r\n')
    ),
    'announced body far over the limit': Form(
        lambda target: endless(
            target.head + b'Content-Length: 1000000000000\r\n\r\n',
            b'z' * BLOCK,
        )()
    ),
    'chunked body far over the limit': _chunk_form(
        b'', b'4000\r\n' + b'z' * BLOCK + b'\r\n'
    ),
    'chunk size without end': _chunk_form(b'', b'0' * BLOCK),
    'chunk extension without end': _chunk_form(b'5;', b'e' * BLOCK),
    'long extensions of small chunks': _chunk_form(
        b'', b'1;' + b'e' * BLOCK + b'\r\nz\r\n'
    ),
    'trailer without end': _chunk_form(b'2\r\nok\r\n0\r\nT: ', b't' * BLOCK),
    'trailers without end': _chunk_form(
        b'2\r\nok\r\n0\r\n', b'T: t\r\n' * 2048
    ),
    'long trailers without end': _chunk_form(
        b'2\r\nok\r\n0\r\n', b'T: ' + b't' * 60_000 + b'\r\n'
    ),
    'pipelined requests whose answers are not read': _pipelined(b''),
    'pipelined bodies': _pipelined(b'z' * 400_000),
    'pipelined heads of many lines': _pipelined(b'', SHORT_LINES),
    'bytes that are no request': _bare_form(b'', b'\xff\x00' * BLOCK),
}

#: ZeroMQ's greeting (version 3.0, mechanism NULL) and its READY command.
ZMTP_GREETING = (
    b'\xff' + bytes(8) + b'\x7f\x03\x00' + b'NULL'.ljust(20, b'\0') + bytes(32)
)
ZMTP_PROPERTIES = b'\x0bSocket-Type\x00\x00\x00\x06DEALER'
ZMTP_READY = (
    b'\x04'
    + bytes((len(ZMTP_PROPERTIES) + 6,))
    + b'\x05READY'
    + ZMTP_PROPERTIES
)
ZMTP_START = ZMTP_GREETING + ZMTP_READY
#: Flags of a frame: more frames of the message follow, its length has 8 bytes.
MORE = 1
LONG = 2


def _frame(payload: bytes, flags: int) -> bytes:
    if flags & LONG:
        return bytes((flags,)) + len(payload).to_bytes(8, 'big') + payload
    return bytes((flags, len(payload))) + payload


PEER_FORMS = {
    'bytes that are no greeting': _bare_form(b'', b'\xfe\x00' * BLOCK),
    'messages that are not understood': _bare_form(
        ZMTP_START, _frame(b'z' * MEGABYTE, LONG)
    ),
    'long frames of a message without end': _bare_form(
        ZMTP_START, _frame(b'z' * MEGABYTE, LONG | MORE)
    ),
    'medium frames of a message without end': _bare_form(
        ZMTP_START, _frame(b'z' * (MEGABYTE // 4), LONG | MORE)
    ),
    'short frames of a message without end': _bare_form(
        ZMTP_START, _frame(b'z', MORE) * BLOCK
    ),
    'frame that stops short of its end': Form(
        lambda _target: chain(
            (ZMTP_START, b'\x02' + (4 * MEGABYTE).to_bytes(8, 'big')),
            repeat(b'z' * BLOCK, 4 * MEGABYTE // BLOCK - 1),
        )
    ),
    'frame far over the limit': _bare_form(
        ZMTP_START + b'\x02' + (1 << 40).to_bytes(8, 'big'), b'z' * BLOCK
    ),
}
