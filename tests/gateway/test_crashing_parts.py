"""One part of a prompt crashes every upstream that answers a request with it,
whatever else the request holds.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass

from tests.standins.rawupstream import RawRequest, sealed_answer
from tests.waiting import until

from .members import Member, start_member
from .support import (
    GatewayEnvironment,
    RawResponse,
    running_gateway,
    send_request,
)

#: Stated by the users: crashes after which a part must be known, and requests
#: with it that may still reach an upstream later.
MAX_CRASHES = 5
MAX_LATE_REQUESTS = 3
UPSTREAM_COUNT = 16
HARMFUL = 'bad'
EVENTS = 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked'
ANSWER = (b'id: 0\ndata: x\n\n', b'id: 1\ndata: y\n\n')


@dataclass(frozen=True, slots=True)
class Fleet:
    """The environment holds the store and the upstreams of all members."""

    env: GatewayEnvironment
    members: list[Member]
    processes: AsyncExitStack

    @property
    def harmful_runs(self) -> list[RawRequest]:
        """Return the requests with the harmful part that reached upstreams."""
        return [run for run in self.env.runs if is_harmful(run)]

    @property
    def crash_count(self) -> int:
        """Return how many upstreams a harmful request has crashed."""
        return sum(
            any(map(is_harmful, upstream.requests))
            for upstream in self.env.upstreams
        )

    async def start(self, size: int) -> None:
        """Start members and wait until each has heard all others."""
        for number in range(size):
            self.members.append(
                await start_member(self.processes, self.env, f'gw-{number}')
            )
        await until(
            lambda: all(knows_all(member, size) for member in self.members)
        )

    async def stop(self) -> None:
        """Stop all members at once, without notice."""
        self.members.clear()
        await self.processes.aclose()

    async def send(
        self, member: Member, number: int, *parts: str
    ) -> RawResponse:
        """Send a request that is like no other."""
        listed = ','.join(f'{part}:100' for part in (*parts, f'{number:x}'))
        return await send_request(
            member.port,
            f'/stream/{number}',
            method='POST',
            body=b'%d' % number,
            headers={
                'Bergamotshed-Model': 'm',
                'Bergamotshed-Token-Counts': '300,20',
                'Bergamotshed-Prompt-Prefix': listed,
            },
            attempt=f'a{number}',
        )


def is_harmful(request: RawRequest) -> bool:
    parts = request.headers.get('bergamotshed-prompt-prefix', '')
    return f'{HARMFUL}:' in parts


@asynccontextmanager
async def running_fleet(size: int) -> AsyncIterator[Fleet]:
    async with AsyncExitStack() as stack:

        async def answer(
            request: RawRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(sealed_answer(request, b'', sized=False, extra=EVENTS))
            await asyncio.sleep(0.02)
            if is_harmful(request):
                next(
                    upstream
                    for upstream in env.upstreams
                    if request in upstream.requests
                ).crash()
                return
            for event in ANSWER:
                writer.write(b'%x\r\n%s\r\n' % (len(event), event))
                await asyncio.sleep(0.01)
            writer.write(b'0\r\n\r\n')

        env = await stack.enter_async_context(
            running_gateway(*[answer] * UPSTREAM_COUNT)
        )
        processes = await stack.enter_async_context(AsyncExitStack())
        fleet = Fleet(env, [], processes)
        await fleet.start(size)
        yield fleet


def knows_all(member: Member, size: int) -> bool:
    """Return whether a member has heard every other one."""
    return len(member.gateway.fleet.heartbeats.latest_heartbeats) >= size - 1


async def send_mixed(fleet: Fleet, rounds: int, pause_s: float) -> None:
    """Send harmful requests and, beside each, sound ones that share its other
    parts, to the members in turn.
    """
    for number in range(rounds):
        shared = f'c{number % 3}'
        member = fleet.members[number % len(fleet.members)]
        await asyncio.gather(
            fleet.send(member, 4 * number, 'a', shared, HARMFUL),
            *(
                fleet.send(member, 4 * number + place, 'a', shared)
                for place in (1, 2, 3)
            ),
        )
        await asyncio.sleep(pause_s)


async def assert_sound_ones_pass(fleet: Fleet, first: int) -> None:
    for number in range(first, first + 24):
        member = fleet.members[number % len(fleet.members)]
        response = await fleet.send(member, number, 'a', f'c{number % 3}')
        assert response.status == 200
        assert not response.cut


async def test_a_part_that_crashes_upstreams_is_stopped() -> None:
    async with running_fleet(1) as fleet:
        await send_mixed(fleet, 20, 0.05)
        assert len(fleet.harmful_runs) <= MAX_CRASHES
        await assert_sound_ones_pass(fleet, 1000)


async def test_a_part_that_crashes_upstreams_of_all_routers_is_stopped() -> (
    None
):
    async with running_fleet(3) as fleet:
        await send_mixed(fleet, 20, 0.05)
        assert len(fleet.harmful_runs) <= MAX_CRASHES
        await assert_sound_ones_pass(fleet, 1000)


async def test_requests_with_a_harmful_part_that_come_at_once_are_stopped() -> (
    None
):
    async with running_fleet(3) as fleet:
        for wave in range(8):
            await asyncio.gather(
                *(
                    fleet.send(member, 10 * wave + place, 'a', 'd', HARMFUL)
                    for place, member in enumerate(fleet.members)
                )
            )
            await asyncio.sleep(0.2)
            if wave == MAX_CRASHES - 1:
                reached = len(fleet.harmful_runs)
        assert fleet.crash_count <= MAX_CRASHES
        assert len(fleet.harmful_runs) - reached <= MAX_LATE_REQUESTS
        await assert_sound_ones_pass(fleet, 1000)


async def test_a_router_that_starts_later_knows_the_harmful_part() -> None:
    async with running_fleet(2) as fleet:
        await send_mixed(fleet, 12, 0.05)
        reached = len(fleet.harmful_runs)
        late = await start_member(fleet.processes, fleet.env, 'gw-late')
        await asyncio.sleep(1)
        for number in range(2000, 2008):
            await fleet.send(late, number, 'a', 'c0', HARMFUL)
        assert len(fleet.harmful_runs) == reached
        assert reached <= MAX_CRASHES


async def test_a_refused_part_is_refused_at_once_with_a_delay() -> None:
    async with running_fleet(1) as fleet:
        await send_mixed(fleet, 12, 0.05)
        (member,) = fleet.members
        response = await fleet.send(member, 3000, 'a', 'c0', HARMFUL)
        assert response.status == 503
        assert float(response.headers['retry-after']) > 1


async def test_routers_that_all_restart_know_the_harmful_part() -> None:
    async with running_fleet(2) as fleet:
        await send_mixed(fleet, 12, 0.05)
        reached = len(fleet.harmful_runs)
        await asyncio.sleep(1)
        await fleet.stop()
        await fleet.start(2)
        await asyncio.sleep(1)
        for number in range(4000, 4008):
            member = fleet.members[number % 2]
            await fleet.send(member, number, 'a', 'c0', HARMFUL)
        assert len(fleet.harmful_runs) == reached
        await assert_sound_ones_pass(fleet, 5000)
