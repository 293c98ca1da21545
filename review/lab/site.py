"""A small site on loopback addresses: a store, engines and gateways."""

import asyncio
import os
import random
import shutil
import socket
import tempfile
from pathlib import Path

from .engines import Engine
from .gateways import Gateway
from .store import Store

CONFIGURATION = 'keyed.op'
SERVERS = 'keyed.servers'


def free_ports(host: str, count: int) -> list[int]:
    held = []
    for _ in range(count):
        each = socket.socket()
        each.bind((host, 0))
        held.append(each)
    ports = [each.getsockname()[1] for each in held]
    for each in held:
        each.close()
    return ports


class Site:
    """Starts and ends everything; use as an asynchronous context."""

    def __init__(self, gateways: int, engines: list[Engine]) -> None:
        self.store = Store()
        self.engines = engines
        self.gateways: list[Gateway] = []
        self.version = 0
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self._count = gateways
        self._net = (os.getpid() % 200 + 20, random.randrange(1, 250))

    async def __aenter__(self) -> 'Site':
        try:
            await self._start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *_error: object) -> None:
        await self.close()

    async def _start(self) -> None:
        high, low = self._net
        base = f'127.{high}.{low}.'
        await self.store.start(base + '1')
        for engine in self.engines:
            await engine.start(base + '2')
            self.register(engine)
        ports = free_ports(base + '10', 6)
        for number in range(self._count):
            gateway = Gateway(
                number,
                base + str(10 + number),
                self.folder,
                self.store.address,
                ports,
            )
            self.gateways.append(gateway)

    async def start_gateways(self) -> None:
        for gateway in self.gateways:
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()
        # All lists are read and the routers have heard each other.
        await asyncio.sleep(2.5)

    async def close(self) -> None:
        for gateway in self.gateways:
            await gateway.kill()
        for engine in self.engines:
            await engine.stop()
        await self.store.stop()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def register(self, engine: Engine, state: str = 'ready') -> float:
        return self.store.put(SERVERS, engine.name, engine.entry(state))

    def unregister(self, engine: Engine) -> float:
        return self.store.put(SERVERS, engine.name, None)

    def configure(self, body: dict) -> float:
        """Write a configuration; return when it was acknowledged."""
        self.version += random.randint(1, 3)
        whole = {
            'version': self.version,
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 4194304,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
            },
            **body,
        }
        return self.store.put(CONFIGURATION, 'config', whole)


def route(name: str, service: str, kind: str, **fields: object) -> dict:
    return {
        'name': name,
        'host': 'h.example',
        'path_prefix': f'/{name}/',
        'service': service,
        'kind': kind,
        'timeout_ms': 4000,
        'target_latency_ms': 300,
        'priority': 2,
        'max_attempts': 1,
        **fields,
    }
