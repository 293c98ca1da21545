"""Upstreams that name a limit on the requests a second from all routers."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field

import pytest

from tests.standins.rawupstream import RawRequest, sealed_answer
from tests.waiting import until

from .members import Member, start_member, wait_until_acquainted
from .support import (
    GatewayEnvironment,
    RawResponse,
    running_gateway,
    send_request,
)

LIMIT = 4.0
#: Stated by the users: an upstream may get this multiple of what its limit
#: allows in a window, and some requests.
TOLERANCE = 1.5
SLACK_REQUESTS = 5
WINDOW_S = 4
#: Time after which the limit holds; the users allow three seconds.
KNOWN_AFTER_S = 1
INTERVAL_S = 0.025
PLAY_S = 6
PATHS = ('/twice/a', '/once/a')


@dataclass(slots=True)
class Fleet:
    """Routers before upstreams of which some name a limit.

    :ivar limited: whether each upstream names a limit
    :ivar arrivals: times at which requests reached each upstream
    """

    env: GatewayEnvironment
    processes: AsyncExitStack
    limited: list[bool]
    arrivals: list[list[float]]
    members: list[Member] = field(default_factory=list)

    async def start(self, name: str) -> Member:
        member = await start_member(self.processes, self.env, name)
        if self.members:
            await until(member.gateway.fleet.heartbeats.has_ready_peer)
        await member.gateway.learn_limits()
        self.members.append(member)
        return member

    async def send(self, number: int) -> RawResponse:
        member = self.members[number % len(self.members)]
        return await send_request(
            member.port, PATHS[number % len(PATHS)], attempt=f'a{number}'
        )

    async def send_for(self, duration_s: float) -> list[RawResponse]:
        """Send requests at regular intervals to the members in turn."""
        tasks = []
        for number in range(int(duration_s / INTERVAL_S)):
            tasks.append(asyncio.ensure_future(self.send(number)))
            await asyncio.sleep(INTERVAL_S)
        return await asyncio.gather(*tasks)

    def most_in_window(self, place: int) -> int:
        """Return the most requests that an upstream got in a window, from the
        time on at which its limit must be known.
        """
        arrivals = self.arrivals[place]
        since = arrivals[0] + KNOWN_AFTER_S
        counted = [arrival for arrival in arrivals if arrival >= since]
        return max(
            sum(start <= arrival < start + WINDOW_S for arrival in counted)
            for start in counted
        )


ALLOWED = TOLERANCE * LIMIT * WINDOW_S + SLACK_REQUESTS


@asynccontextmanager
async def running_fleet(*limited: bool, size: int = 3) -> AsyncIterator[Fleet]:
    async with AsyncExitStack() as stack:
        arrivals: list[list[float]] = [[] for _ in limited]
        named = list(limited)

        def upstream(
            place: int,
        ) -> Callable[..., object]:
            async def answer(
                request: RawRequest, writer: asyncio.StreamWriter
            ) -> None:
                arrivals[place].append(time.monotonic())
                extra = f'Server-Limit: {LIMIT}' if named[place] else ''
                await asyncio.sleep(0.01)
                writer.write(sealed_answer(request, b'ok', extra=extra))

            return answer

        env = await stack.enter_async_context(
            running_gateway(*map(upstream, range(len(limited))))  # type: ignore[arg-type]
        )
        processes = await stack.enter_async_context(AsyncExitStack())
        fleet = Fleet(env, processes, named, arrivals)
        for number in range(size):
            await fleet.start(f'gw-{number}')
        await wait_until_acquainted(fleet.members)
        yield fleet


def assert_limits_hold(fleet: Fleet) -> None:
    for place, is_limited in enumerate(fleet.limited):
        if is_limited:
            assert fleet.most_in_window(place) <= ALLOWED


async def test_all_routers_together_keep_the_limit_of_an_upstream() -> None:
    async with running_fleet(True, True, False) as fleet:
        answers = await fleet.send_for(PLAY_S)
        assert_limits_hold(fleet)
        assert {answer.status for answer in answers} == {200}


async def test_a_limited_upstream_still_gets_most_of_what_it_takes() -> None:
    async with running_fleet(True, False) as fleet:
        await fleet.send_for(PLAY_S)
        assert fleet.most_in_window(0) >= 0.6 * LIMIT * WINDOW_S


async def test_the_limit_holds_while_a_router_restarts() -> None:
    async with running_fleet(True, True, False) as fleet:
        sending = asyncio.ensure_future(fleet.send_for(PLAY_S))
        await asyncio.sleep(PLAY_S / 2)
        await fleet.start('gw-late')
        answers = await sending
        assert_limits_hold(fleet)
        assert {answer.status for answer in answers} == {200}


async def test_the_limit_holds_while_a_router_is_cut_off(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with running_fleet(True, True, False) as fleet:
        sending = asyncio.ensure_future(fleet.send_for(2 * PLAY_S))
        await asyncio.sleep(PLAY_S / 2)
        for member in fleet.members:
            cut_off(member, fleet.members[0], monkeypatch)
        answers = await sending
        assert_limits_hold(fleet)
        assert {answer.status for answer in answers} == {200}


def cut_off(
    member: Member, lost: Member, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Lose all messages between a member and a lost one."""
    pool = member.gateway.fleet.heartbeats.mesh.pool
    lost_name = lost.gateway.settings.node.name
    get = pool.get
    monkeypatch.setattr(
        pool,
        'get',
        lambda name: None if lost_name == name or member is lost else get(name),
    )


async def test_requests_are_refused_at_once_if_all_upstreams_are_limited() -> (
    None
):
    async with running_fleet(True, True) as fleet:
        answers = await fleet.send_for(PLAY_S)
        assert_limits_hold(fleet)
        refused = [answer for answer in answers if answer.status == 503]
        assert refused
        assert {answer.status for answer in answers} == {200, 503}
        for answer in refused:
            assert float(answer.headers['retry-after']) > 0


async def test_a_limit_ends_when_answers_no_longer_name_it() -> None:
    async with running_fleet(True) as fleet:
        await fleet.send_for(2)
        fleet.limited[0] = False
        await fleet.send_for(2)
        fleet.arrivals[0].clear()
        answers = await fleet.send_for(2)
        assert {answer.status for answer in answers} == {200}
        assert len(fleet.arrivals[0]) == len(answers)
