"""Requests beyond the limits of the process are refused before they run."""

import asyncio

import pytest

from bergamotshed.intake.limits import IntakeLimits

from .scripts import fine
from .support import HOST, KEY, read_answer, running_gateway, send_request

MEGABYTE = 1_048_576
HEAD = (
    f'POST /once/a HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n'
    'Bergamotshed-Attempt-Id: a1\r\n'
).encode()
BODY = b'z' * MEGABYTE
# name: whole request with a body of a megabyte
REQUESTS = {
    'with a length': HEAD + b'Content-Length: %d\r\n\r\n' % MEGABYTE + BODY,
    'in chunks': HEAD
    + b'Transfer-Encoding: chunked\r\n\r\n100000\r\n'
    + BODY
    + b'\r\n0\r\n\r\n',
}


@pytest.mark.parametrize('name', REQUESTS)
async def test_a_body_without_memory_reaches_no_upstream(name: str) -> None:
    async with running_gateway(fine) as env:
        env.gateway.edge.intake.limits = IntakeLimits(MEGABYTE // 2, 100)
        reader, writer = await asyncio.open_connection('127.0.0.1', env.port)
        writer.write(REQUESTS[name])
        response = await read_answer(reader)
        assert response.status == 503
        assert 0 < float(response.headers['retry-after']) <= 2
        assert b'"type":"refused, not run"' in response.body
        writer.close()
        assert (await send_request(env.port, '/once/b')).status == 200
        assert len(env.runs) == 1


@pytest.mark.parametrize('name', REQUESTS)
async def test_a_body_with_memory_is_served(name: str) -> None:
    async with running_gateway(fine) as env:
        reader, writer = await asyncio.open_connection('127.0.0.1', env.port)
        writer.write(REQUESTS[name])
        assert (await read_answer(reader)).status == 200
        writer.close()
        assert env.runs[0].body == BODY


@pytest.mark.parametrize(('size', 'status'), [(16_000, 200), (16_500, 431)])
async def test_headers_over_the_configured_limit_reach_no_upstream(
    size: int, status: int
) -> None:
    filling = b'y' * (size - len(HEAD))
    async with running_gateway(fine) as env:
        reader, writer = await asyncio.open_connection('127.0.0.1', env.port)
        writer.write(HEAD + b'Y: ' + filling + b'\r\n\r\n')
        assert (await read_answer(reader)).status == status
        writer.close()
        assert len(env.runs) == (status == 200)


async def test_the_state_dump_shows_what_clients_use() -> None:
    async with running_gateway(fine) as env:
        _, writer = await asyncio.open_connection('127.0.0.1', env.port)
        await send_request(env.port, '/once/a')
        state = env.gateway.operators.dump()['intake']
        assert isinstance(state, dict)
        assert state['connections'] >= 1
        assert 0 < state['held_bytes'] < state['limits']['memory_bytes']
        assert state['refusals'] == {}
        writer.close()


async def test_a_request_without_a_body_gets_no_interim_answer() -> None:
    async with running_gateway(fine) as env:
        response = await send_request(
            env.port, '/once/a', headers={'Expect': '100-continue'}
        )
        assert response.status == 200
