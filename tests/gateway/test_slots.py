"""Few slots before many routers: granted by the home of their service."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from bergamotshed.routing.slothome import room_of
from bergamotshed.routing.types import SharedSlots
from tests.standins.rawupstream import RawRequest, answer
from tests.waiting import until

from .scripts import fails
from .support import GatewayEnvironment, Script, running_gateway, send_request

#: As in the entries of the stand-in's upstreams.
SLOTS = 8


async def slow(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(0.4)
    writer.write(answer(request, b'fine'))


class Scarce:
    """Stands for a fleet of more routers than an upstream has slots."""

    def __init__(self, slots: SharedSlots) -> None:
        self.reserve = slots.reserve
        self.release = slots.release

    def is_scarce(self, service: str) -> bool:
        return True


@asynccontextmanager
async def scarce(*scripts: Script) -> AsyncIterator[GatewayEnvironment]:
    async with running_gateway(*scripts) as made:
        shared = made.gateway.forwarding
        object.__setattr__(shared, 'slots', Scarce(shared.slots))
        yield made


def held(made: GatewayEnvironment) -> int:
    homes = made.gateway.fleet.slots.homes.values()
    return sum(sum(home.in_flight.values()) for home in homes)


async def test_no_more_run_than_there_are_slots() -> None:
    async with scarce(slow) as made:
        room = room_of(SLOTS)
        speaking = [
            asyncio.create_task(
                send_request(made.port, '/once/a', attempt=f'a{number}')
            )
            for number in range(room)
        ]
        await until(lambda: len(made.runs) == room)
        refused = await send_request(made.port, '/once/a', attempt='late')
        assert refused.status == 503
        assert float(refused.headers['retry-after']) > 0
        assert len(made.runs) == room
        assert {(await task).status for task in speaking} == {200}
        assert held(made) == 0


async def test_slots_of_failures_and_of_callers_who_left_are_free() -> None:
    async with scarce(fails) as made:
        assert (await send_request(made.port, '/once/a')).status == 500
        assert (await send_request(made.port, '/twice/a')).status == 500
        assert held(made) == 0
    async with scarce(slow) as made:
        leaving = asyncio.create_task(send_request(made.port, '/once/a'))
        await until(lambda: made.runs)
        leaving.cancel()
        await until(lambda: held(made) == 0)
