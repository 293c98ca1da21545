"""Routers that are cut off from all upstreams while their peers are not."""

import asyncio
import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import pytest

from bergamotshed.upstreams.pool import ConnectionPool
from bergamotshed.upstreams.types import UpstreamNotReached
from tests.standins.rawupstream import (
    RawRequest,
    reset_connection,
    sealed_answer,
)
from tests.waiting import until

from .members import Member, start_member, wait_until_acquainted
from .support import (
    UPSTREAMS,
    GatewayEnvironment,
    RawResponse,
    Script,
    running_gateway,
    send_request,
    upstream_entry,
)
from .test_streams import EVENTS, events

#: Stated by the users: time from the start of a cut after which it must not
#: matter to callers.
CONTACT_S = 3.0
#: Stated by the users: share of the requests that may fail beside ten.
SERVED_SHARE = 2 / 3
INTERVAL_S = 0.02
HANG_S = 0.5
#: Time within which a request must be refused that nobody can serve.
AT_ONCE_S = 0.4
EVENT_COUNT = 5
ROUTES = ('once', 'twice', 'stream', 'resumed')
#: Requests that may run once at most.
ONCE_ONLY = ('GET /once/', 'GET /stream/')
WAYS = ('hang', 'reset', 'refuse')


class BlackHole:
    """The transport of a connection that was partitioned."""

    def write(self, _data: bytes) -> None:
        """Lose the data."""

    def is_closing(self) -> bool:
        return False

    def abort(self) -> None:
        """Do nothing."""

    def get_extra_info(self, _name: str) -> None:
        return None


async def answer(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(0.01)
    path = request.line.split()[1]
    if path.startswith(('/stream/', '/resumed/')):
        rest = events(0, EVENT_COUNT)
        writer.write(sealed_answer(request, rest, extra=EVENTS))
    else:
        writer.write(sealed_answer(request, request.attempt.encode()))


@dataclass(slots=True)
class Fleet:
    """Routers of which some can be cut off from the upstreams.

    :ivar opened: the connections that each router opened to upstreams
    :ivar connects: the pools' own ways to connect, of those that are cut off
    """

    env: GatewayEnvironment
    members: list[Member] = field(default_factory=list)
    opened: list[list[Any]] = field(default_factory=list)
    connects: dict[int, Any] = field(default_factory=dict)
    sent_count: int = 0

    def pool(self, place: int) -> ConnectionPool:
        return self.members[place].gateway.forwarding.pool

    def add(self, member: Member) -> None:
        """Add a router and record the connections that it opens."""
        pool: Any = member.gateway.forwarding.pool
        opened: list[Any] = []
        connect = pool._open_connection

        async def connect_and_record(address: str) -> Any:
            opened.append(await connect(address))
            return opened[-1]

        pool._open_connection = connect_and_record
        self.opened.append(opened)
        self.members.append(member)

    def cut(self, place: int, way: str) -> None:
        """Cut a router off from all upstreams."""
        pool: Any = self.pool(place)
        self.connects[place] = pool._open_connection

        async def connect(address: str) -> None:
            if way == 'hang':
                await asyncio.sleep(HANG_S)
            raise UpstreamNotReached(f'{address}: {way}')

        pool._open_connection = connect
        for connection in self.opened[place]:
            if way == 'hang':
                connection._transport = BlackHole()
            elif way == 'reset':
                connection.close()

    def heal(self, place: int) -> None:
        pool: Any = self.pool(place)
        pool._open_connection = self.connects.pop(place)

    async def send(self, place: int, **kwargs: Any) -> RawResponse:
        self.sent_count += 1
        route = ROUTES[self.sent_count % len(ROUTES)]
        return await send_request(
            self.members[place].port,
            f'/{route}/a?n={self.sent_count}',
            attempt=f'a{self.sent_count}',
            headers={'Bergamotshed-Deadline-Ms': '2500'},
            **kwargs,
        )

    async def send_for(
        self, place: int, duration_s: float
    ) -> list[RawResponse]:
        """Send requests to a router at regular intervals."""
        tasks = []
        for _ in range(int(duration_s / INTERVAL_S)):
            tasks.append(asyncio.ensure_future(self.send(place)))
            await asyncio.sleep(INTERVAL_S)
        return await asyncio.gather(*tasks)


@asynccontextmanager
async def running_fleet(
    size: int = 3, script: Script = answer, upstreams: int = 3
) -> AsyncIterator[Fleet]:
    async with AsyncExitStack() as stack:
        env = await stack.enter_async_context(
            running_gateway(*(script for _ in range(upstreams)))
        )
        processes = await stack.enter_async_context(AsyncExitStack())
        fleet = Fleet(env)
        for number in range(size):
            fleet.add(await start_member(processes, env, f'gw-{number}'))
        await wait_until_acquainted(fleet.members)
        yield fleet


def served_share(answers: list[RawResponse]) -> float:
    served = sum(each.status == 200 and not each.cut for each in answers)
    return served / len(answers)


@pytest.mark.parametrize('way', WAYS)
async def test_callers_of_a_cut_off_router_are_served_through_its_peers(
    way: str,
) -> None:
    async with running_fleet() as fleet:
        await fleet.send_for(0, 0.5)
        fleet.cut(0, way)
        await fleet.send_for(0, CONTACT_S)
        answers = await fleet.send_for(0, 2)
        assert served_share(answers) > SERVED_SHARE
        runs = Counter(
            run.attempt
            for run in fleet.env.runs
            if run.line.startswith(ONCE_ONLY)
        )
        assert set(runs.values()) == {1}


@pytest.mark.parametrize('size', [9, 400_000])
@pytest.mark.parametrize('status', ['200 OK', '404 Not Found', '500 Failed'])
async def test_a_peers_error_does_not_go_into_a_stream(
    status: str, size: int
) -> None:
    async def first_cut(
        request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        if 'last-event-id' in request.headers:
            writer.write(sealed_answer(request, b'e' * size, status))
            return
        head = sealed_answer(request, b'', sized=False, extra=EVENTS)
        writer.write(head + events(0, EVENT_COUNT))
        await writer.drain()
        await asyncio.sleep(0.05)
        reset_connection(writer)

    async with running_fleet(size=2, script=first_cut) as fleet:
        fleet.cut(0, 'refuse')
        await asyncio.sleep(CONTACT_S)
        response = await send_request(fleet.members[0].port, '/resumed/a')
        assert fleet.members[1].gateway.relay.received_count
        assert response.cut
        assert response.body == events(0, EVENT_COUNT)


async def test_callers_are_served_while_most_routers_are_cut_off() -> None:
    async with running_fleet(size=4) as fleet:
        for place in (0, 1, 2):
            fleet.cut(place, 'hang')
        await asyncio.gather(
            *(fleet.send_for(place, CONTACT_S) for place in (0, 1, 2))
        )
        groups = await asyncio.gather(
            *(fleet.send_for(place, 2) for place in (0, 1, 2))
        )
        for answers in groups:
            assert served_share(answers) > SERVED_SHARE


async def test_it_refuses_at_once_if_no_router_reaches_an_upstream() -> None:
    async with running_fleet(size=2) as fleet:
        for place in (0, 1):
            fleet.cut(place, 'hang')
        await asyncio.gather(
            *(fleet.send_for(place, CONTACT_S) for place in (0, 1))
        )
        sent_at = time.monotonic()
        refused = await fleet.send(0)
        assert refused.status == 503
        assert float(refused.headers['retry-after']) > 0
        assert time.monotonic() - sent_at < AT_ONCE_S


async def test_a_router_serves_by_itself_again_after_a_cut() -> None:
    async with running_fleet(size=2) as fleet:
        fleet.cut(0, 'refuse')
        await fleet.send_for(0, 1)
        fleet.heal(0)
        await fleet.send_for(0, 1)
        opened_before = fleet.pool(1).opened_count
        own = len(fleet.env.runs)
        answers = await fleet.send_for(0, 1)
        assert served_share(answers) == 1
        assert len(fleet.env.runs) == own + len(answers)
        assert fleet.pool(1).opened_count == opened_before


@pytest.mark.parametrize('upstreams', [1, 2, 3])
async def test_a_cut_off_router_takes_no_upstream_for_crashed(
    upstreams: int,
) -> None:
    async def waits(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(1)
        await answer(request, writer)

    async with running_fleet(
        size=2, script=waits, upstreams=upstreams
    ) as fleet:
        quarantine = fleet.members[0].gateway.fleet.crashes.quarantine
        sending = [asyncio.ensure_future(fleet.send(0)) for _ in range(12)]
        await until(lambda: len(fleet.env.runs) == len(sending))
        fleet.cut(0, 'reset')
        await asyncio.gather(*sending)
        await asyncio.sleep(1)
        assert not quarantine.export()
        fleet.heal(0)
        await asyncio.sleep(1)
        assert not quarantine.export()


async def test_an_upstream_that_crashes_alone_is_still_found() -> None:
    async def crashes(
        request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        fleet.env.upstreams[0].crash()

    async with running_fleet(size=1) as fleet:
        await fleet.send_for(0, 0.3)
        fleet.env.upstreams[0].script = crashes
        await fleet.send_for(0, 0.5)
        quarantine = fleet.members[0].gateway.fleet.crashes.quarantine
        await until(lambda: len(quarantine.export()) == 1)


async def test_a_silent_second_of_one_upstream_is_no_cut() -> None:
    async with running_fleet(size=2) as fleet:
        pool: Any = fleet.pool(0)
        connect = pool._open_connection
        silent = fleet.env.upstreams[0].address

        async def connect_or_hang(address: str) -> Any:
            if address == silent:
                await asyncio.sleep(HANG_S)
                raise UpstreamNotReached('silent')
            return await connect(address)

        pool._open_connection = connect_or_hang
        answers = await fleet.send_for(0, 1.5)
        assert served_share(answers) == 1
        others = {
            run.attempt
            for upstream in fleet.env.upstreams
            for run in upstream.requests
        }
        assert len(others) == len(answers)
        assert fleet.pool(1).opened_count == 0


async def test_an_upstream_stops_when_a_caller_leaves_a_cut_off_router() -> (
    None
):
    async def endless(
        request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(sealed_answer(request, b'', sized=False, extra=EVENTS))
        for number in range(400):
            writer.write(events(number, number))
            await writer.drain()
            await asyncio.sleep(0.02)

    async with running_fleet(size=2, script=endless) as fleet:
        fleet.cut(0, 'refuse')
        for _ in range(4):
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.3):
                    await send_request(
                        fleet.members[0].port, '/stream/a', attempt='left'
                    )
        assert fleet.env.runs
        await until(
            lambda: (
                sum(each.closed_connections for each in fleet.env.upstreams)
                >= len(fleet.env.runs)
            ),
            0.5,
        )


async def test_a_listed_upstream_that_is_gone_everywhere_is_no_cut() -> None:
    async with running_fleet(size=2, upstreams=1) as fleet:
        fleet.env.store.put(UPSTREAMS, 'i-gone', upstream_entry('127.0.0.1:1'))
        await until(
            lambda: all(
                len(each.gateway.fleet.registry.members('s')) == 2
                for each in fleet.members
            )
        )
        answers = await fleet.send_for(0, 1)
        assert served_share(answers) == 1
        assert fleet.pool(1).opened_count == 0
