"""
tests.soak.fleet
~~~~~~~~~~~~~~~~

Gateways as processes, with a proxy in front of each engine and one between
each gateway and the store.
"""

__all__ = ('PORTS', 'Fleet', 'RouterProcess')

import asyncio
import os
import random
import signal
import sys
import time
from contextlib import AsyncExitStack
from pathlib import Path
from typing import BinaryIO

from tests.gateway.support import (
    CONFIGURATION,
    UPSTREAMS,
    GatewayEnvironment,
    configuration,
)
from tests.harness import ROOT
from tests.standins.keyedstore import KeyedStoreStandIn

from .engines import Engine, EngineRun
from .proxy import FaultyProxy

GRACE_S = 3.0
REVOKE_MS = 2500
PORTS = {
    'callers': 7001,
    'health': 7002,
    'directory': 7003,
    'peers': 7004,
    'operators': 7005,
    'relay': 7006,
}


class RouterProcess:
    """One gateway process, restarted whenever it ends.

    :ivar unexpected_exit_codes: exit codes of ends without SIGTERM or SIGKILL
    :ivar overdue_stops: how often it outlived the grace period
    """

    def __init__(
        self, number: int, directory: Path, store_proxy: FaultyProxy
    ) -> None:
        self.name = f'gw-{number}'
        self.store_proxy = store_proxy
        self.host = _loopback_host(number)
        self.unexpected_exit_codes: list[int] = []
        self.overdue_stops = 0
        self._settings_path = directory / f'{self.name}.ini'
        self._process: asyncio.subprocess.Process | None = None
        self._is_end_requested = False
        self._is_stopping = False

    async def run(self) -> None:
        """Keep the process running until cancelled."""
        self._settings_path.write_text(self._settings())
        while True:
            self._is_end_requested = False
            self._process = await self._start()
            try:
                exit_code = await self._process.wait()
            finally:
                if self._process.returncode is None:
                    self._process.kill()
                    await self._process.wait()
            if not self._is_end_requested:
                self.unexpected_exit_codes.append(exit_code)
            await asyncio.sleep(0.2)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is not None and self._process.returncode is None:
            if number in {signal.SIGKILL, signal.SIGTERM}:
                self._is_end_requested = True
            self._process.send_signal(number)

    async def stop(self) -> None:
        """Stop like the platform: SIGTERM, SIGKILL after the grace period."""
        process = self._process
        self.send_signal(signal.SIGTERM)
        if process is None:
            return
        try:
            await asyncio.wait_for(process.wait(), GRACE_S)
        except TimeoutError:
            self.overdue_stops += 1
            self.send_signal(signal.SIGKILL)

    async def _start(self) -> asyncio.subprocess.Process:
        with _open_for_append(f'{self._settings_path}.log') as log:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                *('-m', 'bergamotshed', 'gateway'),
                *('--settings', str(self._settings_path)),
                env={
                    **os.environ,
                    'PYTHONPATH': str(ROOT / 'src'),
                    'BERGAMOTSHED_FIRST_START': 'true',
                },
                stdout=log,
                stderr=log,
            )

    def _settings(self) -> str:
        addresses = '\n'.join(
            f'{name} = {self.host}:{port}' for name, port in PORTS.items()
        )
        return (
            f'[node]\nname = {self.name}\ndomain = a\ngrace_s = {GRACE_S}\n'
            f'[addresses]\n{addresses}\n'
            f'[store]\naddress = {self.store_proxy.address}\n'
            'configuration_wait_ms = 300\nupstreams_wait_ms = 500\n'
            f'[configuration]\nrevoke_ms = {REVOKE_MS}\n'
            '[directory]\nlifetime_s = 0.5\n'
            '[retries]\nratio = 0.2\nslack = 40\n'
        )


class Fleet:
    """The gateways, the store and the engines.

    :ivar runs: requests that the engines began to run
    :ivar revoked_at: monotonic time in seconds at which the store
        acknowledged the removal of an API key, by key
    """

    def __init__(
        self, directory: Path, rng: random.Random, routers: int, engines: int
    ) -> None:
        self.runs: list[EngineRun] = []
        self.revoked_at: dict[str, float] = {}
        self.store = KeyedStoreStandIn()
        self.store.era = 1
        self.engines = [
            Engine(f'i-{number}', self.runs.append, rng)
            for number in range(engines)
        ]
        self.routers: list[RouterProcess] = []
        self.keys = ['kept', 'key-0']
        self._written: dict[tuple[str, str], object] = {}
        self._router_count = routers
        self._directory = directory
        self._environment = GatewayEnvironment(None, self.store, [])  # type: ignore[arg-type]

    async def start(self, stack: AsyncExitStack) -> None:
        """Start the store, the engines and the gateways."""
        await stack.enter_async_context(self.store.serving())
        for engine in self.engines:
            await stack.enter_async_context(engine.upstream.serving())
            engine.proxy = await _start_proxy(stack, engine.upstream.address)
            self.register(engine, 'ready')
        self.publish()
        for number in range(self._router_count):
            store_proxy = await _start_proxy(stack, self.store.address)
            router = RouterProcess(number, self._directory, store_proxy)
            self.routers.append(router)
            task = asyncio.ensure_future(router.run())
            stack.push_async_callback(_cancel, task)

    def publish(self, timeout_ms: int = 2500) -> None:
        """Publish the next configuration, with the current keys."""
        self._environment.version += 1
        self._environment.keys = list(self.keys)
        self._put(
            CONFIGURATION,
            'config',
            configuration(self._environment, timeout_ms),
        )

    def revoke(self) -> None:
        """Replace the second API key by a new one."""
        old_key = self.keys[1]
        self.keys[1] = f'key-{len(self.revoked_at) + 1}'
        self.publish()
        self.revoked_at[old_key] = time.monotonic()

    def register(self, engine: Engine, state: str) -> None:
        """Write an engine's entry to the store."""
        self._put(UPSTREAMS, engine.name, engine.store_entry(state))

    def write_again(self) -> None:
        """Write the latest value of each key to a store that has lost it."""
        for (topic, key), value in self._written.items():
            self.store.put(topic, key, value)

    def _put(self, topic: str, key: str, value: object) -> None:
        self._written[topic, key] = value
        self.store.put(topic, key, value)


def _loopback_host(number: int) -> str:
    """Return a loopback address that no concurrent run uses."""
    high, low = divmod(os.getpid(), 250)
    return f'127.{10 + number}.{high % 250}.{low + 1}'


def _open_for_append(path: str) -> BinaryIO:
    return open(path, 'ab')


async def _start_proxy(stack: AsyncExitStack, target: str) -> FaultyProxy:
    proxy = FaultyProxy(target)
    await proxy.start()
    stack.push_async_callback(proxy.close)
    return proxy


async def _cancel(task: 'asyncio.Task[None]') -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
