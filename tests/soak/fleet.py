"""
tests.soak.fleet
~~~~~~~~~~~~~~~~

Gateways as processes, the store and the engines, each behind a proxy.
"""

__all__ = ('PORTS', 'Fleet', 'Router')

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

from .engines import Engine, Run
from .proxy import FaultyProxy

GRACE_S = 3.0
REVOKE_MS = 2500
PORTS = {
    'callers': 7001,
    'health': 7002,
    'directory': 7003,
    'peers': 7004,
    'operators': 7005,
}


class Router:
    """One gateway, started again whenever it ends.

    :ivar ends: exit codes of ends that nobody asked for
    """

    def __init__(
        self, number: int, directory: Path, store: FaultyProxy
    ) -> None:
        self.name = f'gw-{number}'
        self.store = store
        self.host = _own_host(number)
        self.ends: list[int] = []
        self.overdue = 0
        self._path = directory / f'{self.name}.ini'
        self._process: asyncio.subprocess.Process | None = None
        self._wanted = False
        self._stopping = False

    async def run(self) -> None:
        """Keep the process running until cancelled."""
        self._path.write_text(self._settings())
        while True:
            self._wanted = False
            self._process = await self._start()
            try:
                code = await self._process.wait()
            finally:
                if self._process.returncode is None:
                    self._process.kill()
                    await self._process.wait()
            if not self._wanted:
                self.ends.append(code)
            await asyncio.sleep(0.2)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is not None and self._process.returncode is None:
            if number in {signal.SIGKILL, signal.SIGTERM}:
                self._wanted = True
            self._process.send_signal(number)

    async def stop(self) -> None:
        """Stop as the platform does: SIGTERM, and SIGKILL after the grace."""
        process = self._process
        self.send(signal.SIGTERM)
        if process is None:
            return
        try:
            await asyncio.wait_for(process.wait(), GRACE_S)
        except TimeoutError:
            self.overdue += 1
            self.send(signal.SIGKILL)

    async def _start(self) -> asyncio.subprocess.Process:
        with _appending(f'{self._path}.log') as log:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                *('-m', 'bergamotshed', 'gateway'),
                *('--settings', str(self._path)),
                env={**os.environ, 'PYTHONPATH': str(ROOT / 'src')},
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
            f'[store]\naddress = {self.store.address}\n'
            'configuration_wait_ms = 300\nupstreams_wait_ms = 500\n'
            f'[configuration]\nrevoke_ms = {REVOKE_MS}\n'
            '[directory]\nlifetime_s = 0.5\n'
            '[retries]\nratio = 0.2\nslack = 40\n'
        )


class Fleet:
    """Everything that callers and upstreams meet.

    :ivar runs: what the engines ran
    :ivar revoked: when the store acknowledged that a key was taken away
    """

    def __init__(
        self, directory: Path, rng: random.Random, routers: int, engines: int
    ) -> None:
        self.runs: list[Run] = []
        self.revoked: dict[str, float] = {}
        self.store = KeyedStoreStandIn()
        self.engines = [
            Engine(f'i-{number}', self.runs.append, rng)
            for number in range(engines)
        ]
        self.routers: list[Router] = []
        self.keys = ['kept', 'key-0']
        self._count = routers
        self._directory = directory
        self._scene = GatewayEnvironment(None, self.store, [])  # type: ignore[arg-type]

    async def start(self, stack: AsyncExitStack) -> None:
        """Start all of it."""
        await stack.enter_async_context(self.store.serving())
        for engine in self.engines:
            await stack.enter_async_context(engine.upstream.serving())
            engine.proxy = await _proxy(stack, engine.upstream.address)
            self.register(engine, 'ready')
        self.publish()
        for number in range(self._count):
            store = await _proxy(stack, self.store.address)
            router = Router(number, self._directory, store)
            self.routers.append(router)
            task = asyncio.ensure_future(router.run())
            stack.push_async_callback(_cancelled, task)

    def publish(self, timeout_ms: int = 2500) -> None:
        """Publish a version with the present keys."""
        self._scene.version += 1
        self._scene.keys = list(self.keys)
        self.store.put(
            CONFIGURATION, 'config', configuration(self._scene, timeout_ms)
        )

    def revoke(self) -> None:
        """Replace the second key."""
        old = self.keys[1]
        self.keys[1] = f'key-{len(self.revoked) + 1}'
        self.publish()
        self.revoked[old] = time.monotonic()

    def register(self, engine: Engine, state: str) -> None:
        """Write an engine's entry."""
        self.store.put(UPSTREAMS, engine.name, engine.entry(state))


def _own_host(number: int) -> str:
    """Return a loopback address that no other run uses meanwhile."""
    high, low = divmod(os.getpid(), 250)
    return f'127.{10 + number}.{high % 250}.{low + 1}'


def _appending(path: str) -> BinaryIO:
    return open(path, 'ab')


async def _proxy(stack: AsyncExitStack, target: str) -> FaultyProxy:
    proxy = FaultyProxy(target)
    await proxy.start()
    stack.push_async_callback(proxy.close)
    return proxy


async def _cancelled(task: 'asyncio.Task[None]') -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
