from collections.abc import AsyncIterator
from datetime import timedelta

import pytest
from aiohttp import ClientSession

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
from tests.engines.scripted import answer, scripted

REQUEST = ServiceRequest(
    'r', 'sierra', 'book', 'k', b'{"slot": 1}', 'application/json'
)
TIMEOUT = timedelta(seconds=0.3)


@pytest.fixture
async def client() -> AsyncIterator[HttpServiceClient]:
    async with ClientSession() as session:
        yield HttpServiceClient(session, SystemClock())


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
    'silence in the body': (answer('200 OK', b'x')[:-1], True, ServiceCut),
}


@pytest.mark.parametrize('name', FAULTS)
async def test_faults(client: HttpServiceClient, name: str) -> None:
    answer_bytes, hang, expected = FAULTS[name]
    async with scripted(answer_bytes, hang=hang) as (address, server):
        with pytest.raises(expected):
            await client.call(address, REQUEST, TIMEOUT)
        assert len(server.received) == 1


async def test_refused_connection(client: HttpServiceClient) -> None:
    async with scripted(b'') as (address, _):
        pass
    with pytest.raises(ServiceUnreachable):
        await client.call(address, REQUEST, TIMEOUT)
