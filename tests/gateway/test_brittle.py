"""Upstreams that fall over if they have to turn away too many requests."""

import asyncio
import random
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field

import pytest

from tests.standins.rawupstream import RawRequest, sealed_answer

from .members import Member, start_member, wait_until_acquainted
from .scripts import full
from .support import (
    UPSTREAMS,
    GatewayEnvironment,
    RawResponse,
    Script,
    running_gateway,
    send_request,
    upstream_entry,
)

SLOTS = 6
RUN_S = 0.25
#: Rejections in a second that an upstream bears, as it says itself.
TOLERANCE = 3
WINDOW_S = 1.0
DOWN_S = 1.5
#: Time after which the upstreams let fewer wait; the users allow three seconds.
KNOWN_AFTER_S = 1.0
#: Stated by the users: falls that are allowed, and for each upstream.
ALLOWED_FALLS = 2
FALLS_PER_UPSTREAM = 0.1
PLAY_S = 5.0
CALLERS = 40
DEADLINE_MS = 2500
MIN_CAPACITY_USED = 0.5
PATHS = ('/twice/a', '/once/a')


@dataclass(slots=True)
class BrittleUpstream:
    """Runs a few requests, turns others away, and falls over if too many.

    :ivar room: requests that it takes at once
    :ivar tolerance: rejections in a second that it bears; ``None`` for any
    """

    room: int
    tolerance: int | None = TOLERANCE
    running: int = 0
    served: int = 0
    falls: int = 0
    down_until: float = 0.0
    rejected_at: list[float] = field(default_factory=list)
    known_at: float = float('inf')

    async def answer(
        self, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        now = time.monotonic()
        self.known_at = min(self.known_at, now + KNOWN_AFTER_S)
        if now < self.down_until:
            writer.close()
            return
        if self.running >= self._room(now):
            await self._reject(request, writer, now)
            return
        self.running += 1
        try:
            await asyncio.sleep(RUN_S)
        finally:
            self.running -= 1
        self.served += 1
        writer.write(sealed_answer(request, b'ok', extra=self._notice()))

    async def _reject(
        self, request: RawRequest, writer: asyncio.StreamWriter, now: float
    ) -> None:
        self.rejected_at.append(now)
        recent = [each for each in self.rejected_at if each > now - WINDOW_S]
        if self.tolerance is not None and len(recent) > self.tolerance:
            if now > self.known_at:
                self.falls += 1
                self.down_until = now + DOWN_S
            self.rejected_at.clear()
        writer.write(
            b'HTTP/1.1 503 Busy\r\n'
            b'Bergamotshed-Attempt-Id: %b\r\n'
            b'Bergamotshed-Not-Executed: 1\r\n%b'
            b'Content-Length: 0\r\n\r\n'
            % (
                request.attempt.encode(),
                f'{self._notice()}\r\n'.encode() if self._notice() else b'',
            )
        )

    def _room(self, now: float) -> int:
        """Return the requests that it takes; more until it is known."""
        return self.room if now > self.known_at else 4 * self.room

    def _notice(self) -> str:
        return (
            ''
            if self.tolerance is None
            else f'Server-Brittle: {self.tolerance}'
        )


@dataclass(slots=True)
class Fleet:
    """Routers before brittle upstreams, and their callers."""

    env: GatewayEnvironment
    processes: AsyncExitStack
    upstreams: list[BrittleUpstream]
    members: list[Member] = field(default_factory=list)
    answers: list[RawResponse] = field(default_factory=list)
    sent_count: int = 0

    @property
    def falls(self) -> int:
        return sum(upstream.falls for upstream in self.upstreams)

    @property
    def allowed_falls(self) -> float:
        return ALLOWED_FALLS + FALLS_PER_UPSTREAM * len(self.upstreams)

    async def start(self, name: str) -> None:
        self.members.append(await start_member(self.processes, self.env, name))

    async def call_until(self, ends_at: float, rng: random.Random) -> None:
        """Send one request after the other, and come back when told."""
        while time.monotonic() < ends_at:
            self.sent_count += 1
            response = await send_request(
                rng.choice(self.members).port,
                PATHS[self.sent_count % len(PATHS)],
                attempt=f'a{self.sent_count}',
                headers={
                    'Bergamotshed-Deadline-Ms': str(DEADLINE_MS),
                    'Bergamotshed-Prompt-Prefix': f'{rng.randrange(7)}:9,b:5',
                },
            )
            self.answers.append(response)
            await asyncio.sleep(float(response.headers.get('retry-after', 0)))

    async def play(self, duration_s: float, callers: int = CALLERS) -> None:
        ends_at = time.monotonic() + duration_s
        await asyncio.gather(
            *(
                self.call_until(ends_at, random.Random(seed))
                for seed in range(callers)
            )
        )


@asynccontextmanager
async def running_fleet(
    *rooms: int, size: int = 3, tolerance: int | None = TOLERANCE
) -> AsyncIterator[Fleet]:
    upstreams = [BrittleUpstream(room, tolerance) for room in rooms]
    async with AsyncExitStack() as stack:
        scripts: list[Script] = [each.answer for each in upstreams]
        env = await stack.enter_async_context(running_gateway(*scripts))
        for place, upstream in enumerate(env.upstreams):
            entry = upstream_entry(upstream.address)
            entry |= {'slots': SLOTS, 'sequence': 2}
            env.store.put(UPSTREAMS, f'i-{place}', entry)
        processes = await stack.enter_async_context(AsyncExitStack())
        fleet = Fleet(env, processes, upstreams)
        for number in range(size):
            await fleet.start(f'gw-{number}')
        await wait_until_acquainted(fleet.members)
        yield fleet


def used_capacity(fleet: Fleet, duration_s: float) -> float:
    capacity = sum(each.room for each in fleet.upstreams) * duration_s / RUN_S
    return sum(each.served for each in fleet.upstreams) / capacity


async def test_all_routers_together_keep_brittle_upstreams_up() -> None:
    async with running_fleet(SLOTS, SLOTS, SLOTS) as fleet:
        await fleet.play(PLAY_S)
        assert fleet.falls <= fleet.allowed_falls
        assert used_capacity(fleet, PLAY_S) > MIN_CAPACITY_USED


async def test_brittle_upstreams_with_less_room_than_slots_stay_up() -> None:
    async with running_fleet(SLOTS // 2, SLOTS // 2, SLOTS) as fleet:
        await fleet.play(PLAY_S)
        assert fleet.falls <= fleet.allowed_falls
        assert used_capacity(fleet, PLAY_S) > MIN_CAPACITY_USED


async def test_brittle_upstreams_stay_up_when_a_router_restarts() -> None:
    async with running_fleet(SLOTS, SLOTS, SLOTS) as fleet:
        playing = asyncio.ensure_future(fleet.play(PLAY_S))
        await asyncio.sleep(PLAY_S / 2)
        await fleet.start('gw-late')
        await playing
        assert fleet.falls <= fleet.allowed_falls


async def test_brittle_upstreams_stay_up_when_routers_lose_each_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with running_fleet(SLOTS, SLOTS, SLOTS) as fleet:
        playing = asyncio.ensure_future(fleet.play(PLAY_S))
        await asyncio.sleep(PLAY_S / 2)
        for member in fleet.members:
            pool = member.gateway.fleet.heartbeats.mesh.pool
            monkeypatch.setattr(pool, 'get', lambda _name: None)
        await playing
        assert fleet.falls <= fleet.allowed_falls


async def test_a_notice_that_ends_leaves_no_trace() -> None:
    async with running_fleet(SLOTS, SLOTS, size=2) as fleet:
        await fleet.play(2, callers=4)
        for upstream in fleet.upstreams:
            upstream.tolerance = None
        await fleet.play(1, callers=4)
        await asyncio.sleep(1)
        shared = [each.gateway.fleet.shared for each in fleet.members]
        await fleet.play(0.5, callers=4)
        assert not any(each.slots.brittle.services for each in shared)


async def test_upstreams_that_are_not_brittle_are_placed_as_before() -> None:
    async with running_fleet(SLOTS, SLOTS, size=2, tolerance=None) as fleet:
        await fleet.play(1, callers=6)
        assert {answer.status for answer in fleet.answers} == {200}
        for member in fleet.members:
            assert not member.gateway.fleet.shared.slots.homes


async def test_a_full_service_is_refused_with_a_time_to_come_back() -> None:
    async with running_gateway(full, full) as env:
        response = await send_request(env.port, '/once/a')
        assert response.status == 503
        assert float(response.headers['retry-after']) > 0
