"""Upstreams that reject a request and want nothing for a while."""

import asyncio
import time
from contextlib import AsyncExitStack
from pathlib import Path

import pytest

from tests.standins.keyedstore import KeyedStoreStandIn
from tests.standins.rawupstream import RawRequest, RawUpstream, sealed_answer
from tests.waiting import until

from .members import start_member, wait_until_acquainted
from .scripts import fine
from .support import (
    Script,
    running_gateway,
    send_request,
)
from .test_process import gateway_process, publish_all

PAUSE_S = 2.0
#: Stated by the users: requests from one router between half a second after the
#: rejection and the end of the pause.
MAX_LATE_REQUESTS = 2
GRACE_S = 0.5
INTERVAL_S = 0.02


class PausingUpstream:
    """Rejects requests until it has recovered.

    :ivar arrivals: times at which requests arrived
    :ivar rejected_at: when the first one was rejected
    """

    def __init__(
        self, *headers: str, not_run: bool = True, recovers: bool = True
    ) -> None:
        self.arrivals: list[float] = []
        self.rejected_at = 0.0
        self._headers = list(headers)
        self._recovers = recovers
        if not_run:
            self._headers.append('Bergamotshed-Not-Executed: 1')

    async def __call__(
        self, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        now = time.monotonic()
        self.arrivals.append(now)
        self.rejected_at = self.rejected_at or now
        if self._recovers and now > self.rejected_at + PAUSE_S:
            writer.write(sealed_answer(request, b'fine'))
            return
        extra = '\r\n'.join(self._headers)
        status = '503 Service Unavailable'
        writer.write(sealed_answer(request, b'', status, extra=extra))

    @property
    def late_count(self) -> int:
        start = self.rejected_at + GRACE_S
        end = self.rejected_at + PAUSE_S
        return sum(start < arrival < end for arrival in self.arrivals)

    @property
    def served_count(self) -> int:
        end = self.rejected_at + PAUSE_S
        return sum(arrival > end for arrival in self.arrivals)


async def send_for(
    ports: list[int], path: str, duration_s: float
) -> list[float]:
    """Send requests at regular intervals; return the Retry-After of those
    that were refused.
    """
    tasks = []
    for number in range(int(duration_s / INTERVAL_S)):
        port = ports[number % len(ports)]
        tasks.append(
            asyncio.create_task(send_request(port, path, attempt=f'a{number}'))
        )
        await asyncio.sleep(INTERVAL_S)
    responses = await asyncio.gather(*tasks)
    return [
        float(response.headers['retry-after'])
        for response in responses
        if response.status == 503 and 'retry-after' in response.headers
    ]


async def play(
    *scripts: Script, path: str = '/twice/a', routers: int = 1
) -> list[float]:
    """Send for longer than the pause; return the Retry-After of refusals."""
    async with AsyncExitStack() as stack:
        env = await stack.enter_async_context(running_gateway(*scripts))
        ports = [env.port]
        if routers > 1:
            members = [
                await start_member(stack, env, f'gw-{number}')
                for number in range(routers)
            ]
            await wait_until_acquainted(members)
            ports = [member.port for member in members]
        return await send_for(ports, path, PAUSE_S + 1)


@pytest.mark.parametrize('path', ['/once/a', '/twice/a', '/reroutable/a'])
@pytest.mark.parametrize('not_run', [True, False])
async def test_an_upstream_gets_nothing_in_its_pause(
    path: str, not_run: bool
) -> None:
    paused = PausingUpstream(f'Retry-After: {PAUSE_S}', not_run=not_run)
    await play(paused, fine, path=path)
    assert paused.late_count <= MAX_LATE_REQUESTS
    assert paused.served_count > 5


async def test_each_of_three_routers_heeds_a_pause() -> None:
    paused = PausingUpstream(f'Retry-After: {PAUSE_S}')
    await play(paused, fine, routers=3)
    assert paused.late_count <= 3 * MAX_LATE_REQUESTS


async def test_the_only_upstream_gets_nothing_in_its_pause() -> None:
    paused = PausingUpstream(f'Retry-After: {PAUSE_S}')
    retry_afters = await play(paused)
    assert paused.late_count <= MAX_LATE_REQUESTS
    assert paused.served_count > 5
    assert len(retry_afters) > 20
    assert len(set(retry_afters)) > len(retry_afters) / 2
    assert max(retry_afters) <= PAUSE_S * 1.5
    assert min(retry_afters) >= 0.1


# name: (header lines, whether the upstream gets a pause)
HEADERS: dict[str, tuple[tuple[str, ...], bool]] = {
    'fraction': (('Retry-After: 2.0',), True),
    'the longest of several': (
        ('Retry-After: 2', 'Retry-After: 0.1', 'Retry-After: x'),
        True,
    ),
    'thousands of hours': (('Retry-After: 99999999',), True),
    'zero': (('Retry-After: 0',), False),
    'negative': (('Retry-After: -5',), False),
    'no number': (('Retry-After: soon',), False),
    'not a number': (('Retry-After: nan',), False),
    'infinite': (('Retry-After: inf',), False),
    'a date': (('Retry-After: Wed, 21 Oct 2099 07:28:00 GMT',), False),
    'none': ((), False),
}


@pytest.mark.parametrize('name', HEADERS)
async def test_each_form_of_the_header_has_a_defined_effect(name: str) -> None:
    headers, is_paused = HEADERS[name]
    upstream = PausingUpstream(*headers, recovers=False)
    async with running_gateway(upstream, fine) as env:
        registry = env.gateway.fleet.registry
        rates = env.gateway.fleet.shared.rates
        for number in range(30):
            await send_request(env.port, '/twice/a', attempt=f'a{number}')
            if upstream.arrivals:
                break
        barred = rates.barred(registry.members('s'))
        assert barred == (frozenset({'i-0'}) if is_paused else frozenset())
        assert rates.time_blocked(registry.instances['i-0']).total_seconds() < (
            3601
        )


@pytest.mark.processes
async def test_a_gateway_process_heeds_a_pause(tmp_path: Path) -> None:
    paused = PausingUpstream(f'Retry-After: {PAUSE_S}')
    async with (
        KeyedStoreStandIn().serving() as store,
        RawUpstream(paused).serving() as first,
        RawUpstream(fine).serving() as second,
        gateway_process(tmp_path, store.address) as gateway,
    ):
        publish_all(store, [first, second], 1000)
        await until(gateway.is_ready)
        await send_for([gateway.ports['callers']], '/twice/a', PAUSE_S + 1)
        assert paused.late_count <= MAX_LATE_REQUESTS
        assert paused.served_count > 5
