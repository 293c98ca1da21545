import asyncio
from collections.abc import AsyncIterator
from datetime import timedelta

import pytest
import uvloop

from bergamotshed.clock import SystemClock
from bergamotshed.services.client import HttpServiceClient
from bergamotshed.services.types import (
    ServiceAnswer,
    ServiceCut,
    ServiceError,
    ServiceOverloaded,
    ServiceRequest,
    ServiceUnreachable,
)
from bergamotshed.upstreams.pool import ConnectionPool, PoolOptions
from tests.engines.scripted import answer, scripted
from tests.standins.resetting import read_from_resetting_upstream

REQUEST = ServiceRequest(
    'r', 'sierra', 'book', 'k', b'{"slot": 1}', 'application/json'
)
TIMEOUT = timedelta(seconds=0.3)


@pytest.fixture(params=[asyncio.DefaultEventLoopPolicy, uvloop.EventLoopPolicy])
def event_loop_policy(
    request: pytest.FixtureRequest,
) -> asyncio.AbstractEventLoopPolicy:
    # uvloop, the event loop of production, reports some resets as an end.
    policy: asyncio.AbstractEventLoopPolicy = request.param()
    return policy


@pytest.fixture
async def client() -> AsyncIterator[HttpServiceClient]:
    clock = SystemClock()
    pool = ConnectionPool(PoolOptions(), clock)
    yield HttpServiceClient(pool, clock)
    pool.close()


@pytest.mark.parametrize(
    'status', ['200 OK', '201 Created', '307 No', '422 No', '404 No']
)
async def test_complete_answers(client: HttpServiceClient, status: str) -> None:
    answer_bytes = answer(status, b'booked', 'Content-Type: text/plain')
    async with scripted(answer_bytes) as (address, server):
        response = await client.call(address, REQUEST, TIMEOUT)
        assert response == ServiceAnswer(
            int(status.split()[0]), b'booked', 'text/plain'
        )
        assert len(server.received) == 1
        head = server.received[0]
    assert head.startswith(b'POST /calls/book ')
    assert b'Idempotency-Key: k\r\n' in head
    assert b'X-Organisation: sierra\r\n' in head


FAULTS: dict[str, tuple[bytes, bool, type[ServiceError]]] = {
    'overloaded': (answer('429 Too Many'), False, ServiceOverloaded),
    'unavailable': (answer('503 Unavailable'), False, ServiceOverloaded),
    'server error': (answer('500 Error'), False, ServiceCut),
    'no answer': (b'', False, ServiceCut),
    'half an answer': (answer('200 OK', b'whole')[:-3], False, ServiceCut),
    'silence': (b'', True, ServiceCut),
    'encoded': (
        answer('200 OK', b'x', 'Content-Encoding: gzip'),
        False,
        ServiceCut,
    ),
    'silence in the body': (answer('200 OK', b'x')[:-1], True, ServiceCut),
}


@pytest.mark.parametrize('name', FAULTS)
async def test_faults(client: HttpServiceClient, name: str) -> None:
    answer_bytes, hang, expected = FAULTS[name]
    async with scripted(answer_bytes, hang=hang) as (address, server):
        with pytest.raises(expected):
            await client.call(address, REQUEST, TIMEOUT)
        assert len(server.received) == 1


UNSIZED = b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nbook'


async def test_an_answer_without_a_length_ends_with_its_connection(
    client: HttpServiceClient,
) -> None:
    async with scripted(UNSIZED) as (address, _):
        response = await client.call(address, REQUEST, TIMEOUT)
    assert response == ServiceAnswer(200, b'book', 'text/plain')


async def test_a_reset_answer_without_a_length_is_not_complete(
    client: HttpServiceClient,
) -> None:
    async with scripted(UNSIZED, reset=True) as (address, _):
        with pytest.raises(ServiceCut):
            await client.call(address, REQUEST, TIMEOUT)


async def test_a_reset_that_arrives_with_the_answer_is_not_its_end(
    client: HttpServiceClient,
) -> None:
    with pytest.raises(ServiceCut):
        await read_from_resetting_upstream(
            UNSIZED, lambda address: client.call(address, REQUEST, TIMEOUT)
        )


async def test_refused_connection(client: HttpServiceClient) -> None:
    async with scripted(b'') as (address, _):
        pass
    with pytest.raises(ServiceUnreachable):
        await client.call(address, REQUEST, TIMEOUT)
