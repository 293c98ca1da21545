"""A request that crashes all upstreams of the only service."""

import asyncio
from contextlib import AsyncExitStack

import pytest

from tests.standins.rawupstream import RawRequest, RawUpstream, sealed_answer

from .members import start_member, wait_until_acquainted
from .support import (
    UPSTREAMS,
    GatewayEnvironment,
    running_gateway,
    send_request,
    upstream_entry,
)

#: Stated by the users: crashes after which a request must be known, retries
#: that may still reach an upstream later than the contact time, and that time.
MAX_CRASHES = 3
MAX_LATE_RETRIES = 3
CONTACT_S = 3.0
DOWN_S = 1.0
PAUSE_S = 0.15
#: Long enough for crashes of a single upstream in turn, and the contact time.
DURATION_S = 5 * DOWN_S + CONTACT_S
MEMBERS = 2


class Crashing:
    """Upstreams that a harmful request crashes, and that start anew.

    :ivar crashed_at: time of each crash
    """

    def __init__(self) -> None:
        self.crashed_at: list[float] = []
        self._down: list[RawUpstream] = []
        self._start_count = 0
        self.env: GatewayEnvironment
        self._tasks: list[asyncio.Task[None]] = []

    async def answer(
        self, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(0.02)
        if 'harmful' not in request.line:
            writer.write(sealed_answer(request))
            return
        upstream = next(
            each for each in self.env.upstreams if request in each.requests
        )
        if upstream in self._down:
            return
        self._down.append(upstream)
        self.crashed_at.append(asyncio.get_running_loop().time())
        upstream.crash()
        self._tasks.append(asyncio.create_task(self._start_again(upstream)))

    async def _start_again(self, upstream: RawUpstream) -> None:
        await asyncio.sleep(DOWN_S)
        await upstream.start_again()
        self._down.remove(upstream)
        self._start_count += 1
        number = self._start_count
        entry = {**upstream_entry(upstream.address), 'born': 1 + number}
        self.env.store.put(UPSTREAMS, f'i-again-{number}', entry)


@pytest.mark.parametrize(
    ('count', 'route', 'copies'),
    [
        (1, 'once', 1),
        (2, 'once', 1),
        (3, 'once', 1),
        (5, 'once', 1),
        (2, 'twice', 4),
        (3, 'twice', 4),
    ],
)
async def test_a_request_that_crashes_all_upstreams_is_refused(
    count: int, route: str, copies: int
) -> None:
    # With no other upstream up, a crash was taken for a lost way.
    crashing = Crashing()
    async with AsyncExitStack() as stack:
        env = await stack.enter_async_context(
            running_gateway(*[crashing.answer] * count)
        )
        crashing.env = env
        members = [
            await start_member(stack, env, f'gw-{number}')
            for number in range(MEMBERS)
        ]
        await wait_until_acquainted(members)
        for number in range(int(DURATION_S / PAUSE_S)):
            responses = await asyncio.gather(
                *(
                    send_request(
                        members[(number + copy) % MEMBERS].port,
                        f'/{route}/harmful',
                        attempt=f'h{number}-{copy}',
                    )
                    for copy in range(copies)
                )
            )
            assert {each.status for each in responses} <= {502, 503}
            await asyncio.sleep(PAUSE_S)
        assert len(crashing.crashed_at) >= MAX_CRASHES
        known_at = crashing.crashed_at[MAX_CRASHES - 1]
        late = [
            each for each in crashing.crashed_at if each > known_at + CONTACT_S
        ]
        assert len(late) <= MAX_LATE_RETRIES
        await asyncio.sleep(DOWN_S + 0.5)
        for number in range(3 * MEMBERS):
            answer = await send_request(
                members[number % MEMBERS].port,
                '/once/a',
                attempt=f'a{number}',
            )
            assert answer.status == 200, answer.body
