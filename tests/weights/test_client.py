from datetime import timedelta
from typing import Any

import pytest
from aiohttp import ClientSession
from aiohttp.test_utils import TestServer

from bergamotshed.weights.client import HttpWeightStore
from bergamotshed.weights.types import (
    WeightsRequest,
    WeightStoreBusy,
    WeightStoreUnavailable,
)

from ..standins.weights import WeightsStandIn

REQUEST = WeightsRequest('drafter', '1', 'e1')


@pytest.fixture
async def weight_store() -> Any:
    stand_in = WeightsStandIn(fetches_per_s=0.5, burst=1)
    async with (
        TestServer(stand_in.create_app()) as server,
        ClientSession() as session,
    ):
        yield stand_in, HttpWeightStore(str(server.make_url('/')), session)


async def test_second_ticket_exceeds_the_rate_limit(
    weight_store: Any,
) -> None:
    stand_in, store = weight_store
    assert await store.fetch(REQUEST) == 'ticket-0'
    with pytest.raises(WeightStoreBusy) as caught:
        await store.fetch(REQUEST)
    assert caught.value.retry_after == timedelta(seconds=2)
    assert [run['engine'] for run in stand_in.run_record()['runs']] == ['e1']


@pytest.mark.parametrize('fault', ['refuse', 'lost', 'cut'])
async def test_faults(weight_store: Any, fault: str) -> None:
    stand_in, store = weight_store
    stand_in.faults.set(fault)
    with pytest.raises(WeightStoreUnavailable):
        await store.fetch(REQUEST)
