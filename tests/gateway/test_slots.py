"""Scarce slots, which the home of the service grants to the routers."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from bergamotshed.routing.brittle import max_in_flight
from bergamotshed.routing.types import SharedSlots
from tests.standins.rawupstream import RawRequest, sealed_answer
from tests.waiting import until

from .scripts import fails
from .support import GatewayEnvironment, Script, running_gateway, send_request

#: Slots of each upstream, as in its store entry.
SLOTS = 8


async def slow(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(0.4)
    writer.write(sealed_answer(request, b'fine'))


class ScarceSlots:
    """Simulates a fleet with more routers than an upstream has slots."""

    def __init__(self, slots: SharedSlots) -> None:
        self.reserve = slots.reserve
        self.release = slots.release
        self.tolerance_of = slots.tolerance_of
        self.record_tolerance = slots.record_tolerance

    def is_scarce(self, service: str) -> bool:
        return True


@asynccontextmanager
async def running_gateway_with_scarce_slots(
    *scripts: Script,
) -> AsyncIterator[GatewayEnvironment]:
    async with running_gateway(*scripts) as setup:
        shared = setup.gateway.forwarding
        object.__setattr__(shared, 'slots', ScarceSlots(shared.slots))
        yield setup


def slots_in_use(setup: GatewayEnvironment) -> int:
    homes = setup.gateway.fleet.shared.slots.homes.values()
    return sum(sum(home.in_flight.values()) for home in homes)


async def test_no_more_requests_run_than_there_are_slots() -> None:
    async with running_gateway_with_scarce_slots(slow) as setup:
        capacity = max_in_flight(SLOTS)
        sending = [
            asyncio.create_task(
                send_request(setup.port, '/once/a', attempt=f'a{number}')
            )
            for number in range(capacity)
        ]
        await until(lambda: len(setup.runs) == capacity)
        refusal = await send_request(setup.port, '/once/a', attempt='late')
        assert refusal.status == 503
        assert float(refusal.headers['retry-after']) > 0
        assert len(setup.runs) == capacity
        assert {(await task).status for task in sending} == {200}
        assert slots_in_use(setup) == 0


async def test_slots_are_released_after_failures_and_disconnects() -> None:
    async with running_gateway_with_scarce_slots(fails) as setup:
        assert (await send_request(setup.port, '/once/a')).status == 500
        assert (await send_request(setup.port, '/twice/a')).status == 500
        assert slots_in_use(setup) == 0
    async with running_gateway_with_scarce_slots(slow) as setup:
        abandoned = asyncio.create_task(send_request(setup.port, '/once/a'))
        await until(lambda: setup.runs)
        abandoned.cancel()
        await until(lambda: slots_in_use(setup) == 0)
