"""The gateway started as the platform starts it, in a separate process."""

import asyncio
import os
import signal
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import IO

import msgspec
import pytest
from aiohttp import ClientError, ClientSession

from tests.harness import ROOT, free_ports
from tests.standins.keyedstore import KeyedStoreStandIn
from tests.standins.rawupstream import RawUpstream
from tests.waiting import until

from .scripts import fine, silent
from .support import (
    GatewayEnvironment,
    configuration,
    send_request,
    upstream_entry,
)

pytestmark = pytest.mark.processes

LISTENING = ('callers', 'health', 'directory', 'peers', 'operators')


def settings_text(
    ports: dict[str, int], store: str, grace: float, **changes: str
) -> str:
    lines = ['[node]', 'name = gw-1', 'domain = a', f'grace_s = {grace}']
    lines += ['[addresses]']
    lines += [f'{name} = 127.0.0.1:{port}' for name, port in ports.items()]
    lines += ['[store]', f'address = {store}', 'unheard_of = 1']
    lines += ['[directory]', 'lifetime_s = 0.3', '[unheard_of]', 'a = b']
    text = '\n'.join(lines)
    for old, new in changes.items():
        text = text.replace(f'{old} =', f'{old} = {new} #')
    return text


class GatewayProcess:
    def __init__(
        self,
        path: Path,
        ports: dict[str, int],
        variables: dict[str, str] | None = None,
        *,
        log_to_file: bool = False,
    ) -> None:
        self.path = path
        self._log_to_file = log_to_file
        self._variables = variables or {}
        self.ports = ports
        self.started: asyncio.subprocess.Process | None = None

    @property
    def running(self) -> asyncio.subprocess.Process:
        assert self.started is not None
        return self.started

    async def start(self) -> None:
        if not self._log_to_file:
            await self._start(asyncio.subprocess.PIPE)
            return
        with self.path.with_suffix('.log').open('wb') as log_file:
            await self._start(log_file)

    async def _start(self, output: IO[bytes] | int) -> None:
        self.started = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'bergamotshed',
            'gateway',
            env={
                **os.environ,
                'PYTHONPATH': str(ROOT / 'src'),
                'BERGAMOTSHED_BOOT': str(self.path),
                **self._variables,
            },
            stdout=output,
            stderr=output,
        )

    async def kill(self) -> None:
        if self.running.returncode is None:
            self.running.kill()
        # Also closes the pipes.
        await self.running.communicate()

    async def get(self, name: str, path: str) -> tuple[int, str]:
        url = f'http://127.0.0.1:{self.ports[name]}{path}'
        async with ClientSession() as session, session.get(url) as response:
            return response.status, await response.text()

    async def is_ready(self) -> bool:
        try:
            return (await self.get('health', '/v1/health'))[0] == 200
        except ClientError:
            return False


@asynccontextmanager
async def gateway_process(
    tmp_path: Path, store: str, grace_s: float = 3, **variables: str
) -> AsyncIterator[GatewayProcess]:
    ports = dict(zip(LISTENING, free_ports(len(LISTENING)), strict=True))
    path = tmp_path / 'gateway.ini'
    path.write_text(settings_text(ports, store, grace_s))
    gateway = GatewayProcess(path, ports, variables)
    await gateway.start()
    try:
        yield gateway
    finally:
        await gateway.kill()


def publish_all(
    store: KeyedStoreStandIn, upstreams: list[RawUpstream], timeout_ms: int
) -> None:
    """Write the entries of upstreams and a configuration to the store."""
    env = GatewayEnvironment(None, store, upstreams)  # type: ignore[arg-type]
    for number, upstream in enumerate(upstreams):
        store.put(
            'keyed.servers', f'i-{number}', upstream_entry(upstream.address)
        )
    store.put('keyed.op', 'config', configuration(env, timeout_ms))


async def publish(
    store: KeyedStoreStandIn, upstream: RawUpstream, timeout_ms: int
) -> None:
    publish_all(store, [upstream], timeout_ms)


async def test_serves_explains_and_stops(tmp_path: Path) -> None:
    async with (
        KeyedStoreStandIn().serving() as store,
        RawUpstream(fine).serving() as upstream,
        gateway_process(tmp_path, store.address) as gateway,
    ):
        await publish(store, upstream, 1000)
        await until(gateway.is_ready)
        port = gateway.ports['callers']
        assert (await send_request(port, '/once/a', attempt='a7')).status == 200
        _, entries = await gateway.get('directory', '/v1/entries')
        assert f'127.0.0.1:{port}' in entries
        _, metrics = await gateway.get('operators', '/metrics')
        assert 'bergamotshed_requests' in metrics
        assert 'bergamotshed_request_seconds_bucket' in metrics
        _, state = await gateway.get('operators', '/state')
        assert '"i-0"' in state
        assert '"prompts":{"home_of":0,"known":0}' in state
        assert '"slots":{}' in state
        _, explained = await gateway.get('operators', '/explain?request=a7')
        assert 'request.attempt' in explained

        gateway.running.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.2)
        assert (await send_request(port, '/once/a')).status == 200

        gateway.running.send_signal(signal.SIGTERM)
        await until(lambda: _not_ready(gateway))
        output, errors = await asyncio.wait_for(
            gateway.running.communicate(), 5
        )
        assert gateway.running.returncode == 0
        assert not errors
        for kind in ('gateway.started', 'settings.reloaded', 'gateway.stopped'):
            assert kind.encode() in output


@asynccontextmanager
async def starting_gateway(
    tmp_path: Path, pause: float, timeout_ms: int
) -> AsyncIterator[tuple[GatewayProcess, RawUpstream]]:
    """Yield a gateway that listens but still waits for the store.

    :param pause: seconds before each of the store's answers
    """
    async with (
        KeyedStoreStandIn().serving() as store,
        RawUpstream(fine).serving() as upstream,
    ):
        store.answer_delay_s = pause
        await publish(store, upstream, timeout_ms)
        async with gateway_process(tmp_path, store.address) as gateway:
            await until(lambda: _accepts(gateway.ports['callers']))
            yield gateway, upstream


async def test_requests_during_startup_are_served(
    tmp_path: Path,
) -> None:
    # After a power loss the port was closed for half a second, and a request
    # among the first was refused because the routes were not loaded yet.
    async with starting_gateway(tmp_path, 0.1, 10_000) as (gateway, _):
        assert not await gateway.is_ready()
        assert (
            await send_request(gateway.ports['callers'], '/once/a')
        ).status == 200


async def test_a_request_after_a_slow_startup_has_its_full_deadline(
    tmp_path: Path,
) -> None:
    # After a startup of over a second the first requests counted as if they
    # had arrived at its beginning, and were refused for their deadline.
    async with starting_gateway(tmp_path, 0.25, 300) as (gateway, _):
        await until(gateway.is_ready)
        assert (
            await send_request(gateway.ports['callers'], '/once/a')
        ).status == 200


async def test_waiting_for_startup_counts_against_the_deadline(
    tmp_path: Path,
) -> None:
    async with starting_gateway(tmp_path, 0.2, 20_000) as (gateway, upstream):
        headers = {'Bergamotshed-Deadline-Ms': '10000'}
        assert (
            await send_request(
                gateway.ports['callers'], '/once/a', headers=headers
            )
        ).status == 200
        remaining_ms = upstream.requests[0].headers['bergamotshed-deadline-ms']
        assert int(remaining_ms) < 9800


async def test_startup_succeeds_without_the_store(tmp_path: Path) -> None:
    async with (
        KeyedStoreStandIn().serving() as store,
        gateway_process(tmp_path, store.address) as gateway,
    ):
        store.is_silent = True
        port = gateway.ports['callers']
        await until(lambda: _accepts(port))
        refused = await send_request(port, '/once/a')
        assert refused.status == 503
        assert float(refused.headers['retry-after']) > 0


async def test_a_reload_signal_during_startup_is_handled(
    tmp_path: Path,
) -> None:
    async with (
        KeyedStoreStandIn().serving() as store,
        gateway_process(tmp_path, store.address) as gateway,
    ):
        port = gateway.ports['callers']
        await until(lambda: _accepts(port))
        text = gateway.path.read_text()
        gateway.path.write_text(text.replace('= 0.3', '= 4.5'))
        gateway.running.send_signal(signal.SIGHUP)
        await until(lambda: _answers(gateway))
        await until(lambda: _lifetime(gateway, '4.5'))


async def _accepts(port: int) -> bool:
    try:
        _, writer = await asyncio.open_connection('127.0.0.1', port)
    except OSError:
        return False
    writer.close()
    return True


async def _not_ready(gateway: GatewayProcess) -> bool:
    return not await gateway.is_ready()


async def test_shutdown_ends_within_the_grace_period(tmp_path: Path) -> None:
    # Open connections kept a stopping process alive, and were then cut.
    async with (
        KeyedStoreStandIn().serving() as store,
        RawUpstream(silent).serving() as upstream,
        gateway_process(tmp_path, store.address, grace_s=2) as gateway,
    ):
        await publish(store, upstream, 20_000)
        await until(gateway.is_ready)
        waiting = asyncio.create_task(
            send_request(gateway.ports['callers'], '/once/a')
        )
        await until(lambda: upstream.requests)
        started_at = time.monotonic()
        gateway.running.send_signal(signal.SIGTERM)
        await asyncio.wait_for(gateway.running.wait(), 5)
        assert time.monotonic() - started_at < 2
        assert gateway.running.returncode == 0
        answer = await waiting
        assert answer.status == 504
        assert not answer.cut


async def test_a_changed_file_is_reloaded_without_a_signal(
    tmp_path: Path,
) -> None:
    async with (
        KeyedStoreStandIn().serving() as store,
        gateway_process(tmp_path, store.address) as gateway,
    ):
        await until(lambda: _answers(gateway))
        text = gateway.path.read_text()
        gateway.path.write_text(text.replace('= 0.3', '= 4.5'))
        await until(lambda: _lifetime(gateway, '4.5'))
        gateway.path.write_text(text.replace('= 0.3', '= none'))
        await asyncio.sleep(1.5)
        assert await _lifetime(gateway, '4.5')


async def _answers(gateway: GatewayProcess) -> bool:
    try:
        return bool(await gateway.get('directory', '/v1/entries'))
    except ClientError:
        return False


async def _lifetime(gateway: GatewayProcess, expected: str) -> bool:
    _, entries = await gateway.get('directory', '/v1/entries')
    return f'"lifetime":{expected}' in entries


@pytest.mark.parametrize(
    ('changes', 'message'),
    [
        ({'callers': 'nowhere'}, b'[addresses] callers: expected ip:port'),
        ({'grace_s': 'long'}, b'[node] grace_s: expected a number'),
        ({'name': ''}, b'[node] name: expected'),
    ],
)
async def test_invalid_settings_print_one_line(
    tmp_path: Path, changes: dict[str, str], message: bytes
) -> None:
    ports = dict.fromkeys(LISTENING, 1)
    path = tmp_path / 'gateway.ini'
    path.write_text(settings_text(ports, '127.0.0.1:1', 3, **changes))
    gateway = GatewayProcess(path, ports)
    await gateway.start()
    _, errors = await asyncio.wait_for(gateway.running.communicate(), 20)
    assert gateway.running.returncode == 2
    assert message in errors
    assert errors.count(b'\n') == 1


@pytest.mark.parametrize('first_start', ['true', 'false', ''])
async def test_the_platform_tells_whether_the_fleet_starts_first(
    first_start: str, tmp_path: Path
) -> None:
    async with (
        KeyedStoreStandIn().serving() as store,
        gateway_process(
            tmp_path, store.address, BERGAMOTSHED_FIRST_START=first_start
        ),
    ):
        records = store.records.setdefault('keyed.versions', [])
        await until(lambda: 'period' in dict(records))
        since, until_ms = msgspec.msgpack.decode(dict(records)['period'])
        assert (since == 0) is (first_start == 'true')
        assert until_ms > since
