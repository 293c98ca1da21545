"""
tests.gateway.scripts
~~~~~~~~~~~~~~~~~~~~~

Scripts of the upstreams in the gateway's tests: how they answer a request.
"""

__all__ = (
    'encoded',
    'fails',
    'fine',
    'full',
    'misdirected',
    'resets',
    'silent',
    'unsealed',
    'wrong_attempt',
)

import asyncio

from tests.standins.rawupstream import (
    RawRequest,
    reset_connection,
    sealed_answer,
)


async def fine(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(sealed_answer(request, b'fine'))


async def fails(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(sealed_answer(request, b'no', '500 Internal Server Error'))


async def full(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    head = f'HTTP/1.1 503 Busy\r\nBergamotshed-Attempt-Id: {request.attempt}'
    rest = '\r\nBergamotshed-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
    writer.write((head + rest).encode())


async def misdirected(
    _request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    writer.write(
        b'HTTP/1.1 421 Misdirected Request\r\n'
        b'Bergamotshed-Instance-Id: i-9\r\nContent-Length: 0\r\n\r\n'
    )


async def resets(_request: RawRequest, writer: asyncio.StreamWriter) -> None:
    reset_connection(writer)


async def silent(_request: RawRequest, _writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(30)


async def unsealed(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    sealed = sealed_answer(request, b'x')
    writer.write(sealed.replace(b'Response-Seal', b'Response-Other'))


async def encoded(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(sealed_answer(request, b'x', extra='Content-Encoding: gzip'))


async def wrong_attempt(
    request: RawRequest, writer: asyncio.StreamWriter
) -> None:
    writer.write(sealed_answer(request, b'x', attempt='another'))
