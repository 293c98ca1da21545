"""Answers of upstreams whose status is none."""

import asyncio
import time

import pytest

from tests.standins.rawupstream import RawRequest, sealed_answer

from .support import running_gateway, send_request

EVENTS = 'Content-Type: text/event-stream'
STATUSES = (
    *('000', '000 OK', '001 X', '099 X', '600 X', '999 X', '1000 OK'),
    *('00 X', '20 OK', '0200 OK', '200x OK', '-20 X', '+200 X', '2e2 OK'),
)
PATHS = ('/once/a', '/twice/a', '/stream/a', '/resumed/a')
AT_ONCE_S = 0.5


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('status', STATUSES)
async def test_an_answer_without_a_valid_status_is_broken(
    status: str, path: str
) -> None:
    # 600 and above were passed on, below 100 the caller waited for another.
    async def answer(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        body = b'id: 0\ndata: x\n\n'
        writer.write(sealed_answer(request, body, status, extra=EVENTS))

    async with running_gateway(answer) as env:
        started_at = time.monotonic()
        response = await send_request(env.port, path)
        assert response.status == 502
        assert time.monotonic() - started_at < AT_ONCE_S


@pytest.mark.parametrize('status', ['200 OK', '404 X', '599 X'])
async def test_an_answer_with_a_valid_status_is_passed_on(status: str) -> None:
    async def answer(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(sealed_answer(request, b'x', status))

    async with running_gateway(answer) as env:
        response = await send_request(env.port, '/once/a')
        assert response.status == int(status.split()[0])
