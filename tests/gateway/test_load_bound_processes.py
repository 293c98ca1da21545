"""Many gateway processes before upstreams that count what they hold."""

import asyncio
import random
import time
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import pytest

from tests.harness import free_ports
from tests.held_requests import HeldRequests
from tests.standins.keyedstore import KeyedStoreStandIn
from tests.standins.rawupstream import RawRequest, RawUpstream, sealed_answer
from tests.waiting import until

from .support import (
    GatewayEnvironment,
    Script,
    configuration,
    send_request,
    upstream_entry,
)
from .test_process import LISTENING, GatewayProcess, settings_text

pytestmark = pytest.mark.processes

SEED = 20261205
ROUTER_COUNT = 24
UPSTREAM_COUNT = 20
SLOTS = 64
REQUESTS_PER_S = 160
RUN_S = (0.1, 0.8, 1.5)
#: Five seconds are judged, after the first ones, in which the connections
#: are opened.
WARM_UP_S = 3
DURATION_S = 9
#: Stated by the users, for any five seconds.
MAX_WORST_SHARE = 0.03

ChoosePrompt = Callable[[random.Random], str]


def popular_prompt(rng: random.Random) -> str:
    """Return one prompt for most requests."""
    return f'5:9,{0 if rng.random() < 0.6 else rng.randrange(100):x}:9,1:1'


def no_prompt(_rng: random.Random) -> str:
    """Return no shared prompt."""
    return ''


class CountingUpstreams:
    """Upstreams that report their load at the beginning of each answer."""

    def __init__(self) -> None:
        self.servers: list[RawUpstream] = []
        self._rng = random.Random(SEED)
        self._held = HeldRequests(map(str, range(UPSTREAM_COUNT)))

    @property
    def held(self) -> HeldRequests:
        return self._held

    def restart_count(self) -> None:
        """Count arrivals anew, beside the requests that are held."""
        fresh = HeldRequests(())
        fresh.held = self._held.held
        self._held = fresh

    @asynccontextmanager
    async def serving(self) -> AsyncIterator[None]:
        async with AsyncExitStack() as stack:
            for number in range(UPSTREAM_COUNT):
                server = RawUpstream(self._script(str(number)))
                self.servers.append(
                    await stack.enter_async_context(server.serving())
                )
            yield

    def _script(self, name: str) -> Script:
        async def answer(
            request: RawRequest, writer: asyncio.StreamWriter
        ) -> None:
            self._held.accept(name, time.monotonic())
            try:
                await asyncio.sleep(0.04)
                load = f'{self._held.held[name]},0,{SLOTS}'
                writer.write(
                    sealed_answer(
                        request,
                        sized=False,
                        body=b'',
                        extra=f'Bergamotshed-Server-Load: {load}\r\n'
                        'Content-Length: 2',
                    )
                )
                await asyncio.sleep(self._rng.choice(RUN_S))
                writer.write(b'ok')
            finally:
                self._held.end(name)

        return answer


@asynccontextmanager
async def running_gateways(
    folder: Path, upstreams: CountingUpstreams
) -> AsyncIterator[list[int]]:
    """Run the gateways; yield their callers' ports."""
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(KeyedStoreStandIn().serving())
        for number, server in enumerate(upstreams.servers):
            entry = {**upstream_entry(server.address), 'slots': SLOTS}
            store.put('keyed.servers', f'i-{number}', entry)
        env = GatewayEnvironment(None, store, [])  # type: ignore[arg-type]
        store.put('keyed.op', 'config', configuration(env, 5000))
        ports = free_ports(ROUTER_COUNT * len(LISTENING))
        gateways = []
        for number in range(ROUTER_COUNT):
            own = dict(zip(LISTENING, ports[number::ROUTER_COUNT], strict=True))
            path = folder / f'gateway-{number}.ini'
            text = settings_text(own, store.address, 3)
            path.write_text(text.replace('gw-1', f'gw-{number}'))
            gateway = GatewayProcess(path, own, log_to_file=True)
            await gateway.start()
            stack.push_async_callback(gateway.kill)
            gateways.append(gateway)
        for gateway in gateways:
            await until(gateway.is_ready, 60)
        yield [gateway.ports['callers'] for gateway in gateways]


async def send_load(ports: list[int], prompt_of: ChoosePrompt) -> None:
    """Send requests at random times to random gateways."""
    rng = random.Random(SEED)
    started_at = time.monotonic()
    next_s = 0.0
    number = 0
    async with asyncio.TaskGroup() as sending:
        while next_s < DURATION_S:
            await asyncio.sleep(started_at + next_s - time.monotonic())
            prompt = prompt_of(rng)
            headers = {'Bergamotshed-Prompt-Prefix': prompt} if prompt else {}
            sending.create_task(
                send_request(
                    rng.choice(ports),
                    '/once/a',
                    attempt=f'a{number}',
                    headers=headers,
                )
            )
            number += 1
            next_s += rng.expovariate(REQUESTS_PER_S)


@pytest.mark.parametrize('prompt_of', [popular_prompt, no_prompt])
async def test_stale_counts_do_not_overload_an_upstream(
    tmp_path: Path, prompt_of: ChoosePrompt
) -> None:
    upstreams = CountingUpstreams()
    async with (
        upstreams.serving(),
        running_gateways(tmp_path, upstreams) as ports,
    ):
        sending = asyncio.create_task(send_load(ports, prompt_of))
        await asyncio.sleep(WARM_UP_S)
        upstreams.restart_count()
        await sending
        held = upstreams.held
    assert held.accepted_count > REQUESTS_PER_S * 5
    assert held.worst_share <= MAX_WORST_SHARE
