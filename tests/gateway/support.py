"""
tests.gateway.support
~~~~~~~~~~~~~~~~~~~~~

Runs a gateway in the test process, with a stand-in for the store and with
scripted upstreams.
"""

__all__ = (
    'GatewayEnvironment',
    'RawResponse',
    'make_settings',
    'running_gateway',
    'send_request',
    'serving',
)

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from aiohttp import ClientSession

from bergamotshed.clock import SystemClock
from bergamotshed.gateway.composition import build_gateway
from bergamotshed.gateway.live_settings import LiveSettings
from bergamotshed.gateway.parts import Gateway
from bergamotshed.gateway.settings import (
    AddressSettings,
    ConfigurationSettings,
    GatewaySettings,
    NodeSettings,
    RetrySettings,
    StoreSettings,
)
from bergamotshed.process.journal import Journal
from tests.harness import free_ports
from tests.standins.keyedstore import KeyedStoreStandIn
from tests.standins.rawupstream import RawRequest, RawUpstream
from tests.waiting import until

HOST = 'h.example'
KEY = 'key-1'
CONFIGURATION = 'keyed.op'
UPSTREAMS = 'keyed.servers'

Script = Callable[[RawRequest, asyncio.StreamWriter], Awaitable[None]]

ROUTES: dict[str, dict[str, Any]] = {
    'once': {'kind': 'non_idempotent', 'max_attempts': 1},
    'reroutable': {'kind': 'non_idempotent', 'max_attempts': 3},
    'twice': {'kind': 'idempotent', 'max_attempts': 2},
    'stream': {'kind': 'streaming', 'max_attempts': 1},
    'resumed': {'kind': 'streaming', 'max_attempts': 2, 'resumable': True},
    'open': {'kind': 'idempotent', 'max_attempts': 1, 'public': True},
}


@dataclass(slots=True)
class GatewayEnvironment:
    """A gateway with its store and upstreams.

    :ivar version: the last published version of the configuration
    :ivar keys: API keys that it allows
    """

    gateway: Gateway
    store: KeyedStoreStandIn
    upstreams: list[RawUpstream]
    version: int = 1
    keys: list[str] = field(default_factory=lambda: [KEY])

    @property
    def port(self) -> int:
        """Return the port where callers connect."""
        address = self.gateway.settings.addresses.callers
        return int(address.rpartition(':')[2])

    @property
    def runs(self) -> list[RawRequest]:
        """Return the requests that reached the upstreams."""
        return [
            request
            for upstream in self.upstreams
            for request in upstream.requests
        ]

    def configure(self, timeout_ms: int = 3000) -> None:
        """Publish the next version of the configuration."""
        self.version += 1
        self.store.put(CONFIGURATION, 'config', configuration(self, timeout_ms))

    async def wait_until_settled(self) -> None:
        """Wait until the gateway has the newest version and all upstreams."""
        fleet = self.gateway.fleet
        await until(lambda: fleet.routing.version == self.version)
        await until(
            lambda: len(fleet.registry.members('s')) == len(self.upstreams)
        )


def configuration(
    environment: GatewayEnvironment, timeout_ms: int
) -> dict[str, Any]:
    """Return a configuration with a route of each kind."""
    return {
        'version': environment.version,
        'routes': [
            {
                'name': name,
                'host': HOST,
                'path_prefix': f'/{name}/',
                'service': 's',
                'timeout_ms': timeout_ms,
                'target_latency_ms': 200,
                'priority': 2,
                **fields,
            }
            for name, fields in ROUTES.items()
        ],
        'services': [{'name': 's', 'max_connections': 100}],
        'tenants': [{'name': 'org', 'api_keys': environment.keys}],
    }


@asynccontextmanager
async def running_gateway(
    *scripts: Script,
    revoke_ms: float = 5000,
    grace_s: float = 8,
    versions: Sequence[str] = (),
) -> AsyncIterator[GatewayEnvironment]:
    """Run a gateway with one upstream for each script.

    :param versions: of the upstreams; the same one if they are left out
    """
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(KeyedStoreStandIn().serving())
        upstreams = [
            await stack.enter_async_context(RawUpstream(script).serving())
            for script in scripts
        ]
        session = await stack.enter_async_context(ClientSession())
        settings = make_settings(store.address, revoke_ms, grace_s)
        clock = SystemClock()
        live = LiveSettings(settings, '', clock)
        gateway = build_gateway(live, session, clock, Journal())
        env = GatewayEnvironment(gateway, store, upstreams)
        for number, upstream in enumerate(upstreams):
            entry = upstream_entry(upstream.address)
            if versions:
                entry['version'] = versions[number]
            store.put(UPSTREAMS, f'i-{number}', entry)
        env.configure()
        await stack.enter_async_context(serving(gateway))
        await env.wait_until_settled()
        yield env


@asynccontextmanager
async def serving(gateway: Gateway) -> AsyncIterator[None]:
    """Run the servers and tasks of a gateway."""
    for server in (
        gateway.health,
        gateway.directory,
        gateway.relay,
        gateway.edge,
    ):
        await server.start()
    tasks = [asyncio.ensure_future(run()) for run in gateway.tasks]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for server in (
            gateway.edge,
            gateway.relay,
            gateway.health,
            gateway.directory,
        ):
            await server.stop()
        gateway.forwarding.pool.close()


def make_settings(
    store: str,
    revoke_ms: float,
    grace_s: float,
    name: str = 'gw-1',
    *,
    first_start: bool = True,
) -> GatewaySettings:
    """Return settings with free ports."""
    addresses = [f'127.0.0.1:{port}' for port in free_ports(6)]
    return GatewaySettings(
        NodeSettings(name, 'a', grace_s=grace_s, first_start=first_start),
        AddressSettings(*addresses),
        StoreSettings(store, configuration_wait_ms=200),
        ConfigurationSettings(revoke_ms=revoke_ms),
        RetrySettings(ratio=0.2, slack=50),
    )


def upstream_entry(address: str) -> dict[str, Any]:
    """Return the store entry of an upstream."""
    return {
        'service': 's',
        'address': address,
        'zone': 'a',
        'slots': 8,
        'state': 'ready',
        'sequence': 1,
        'born': 1,
    }


@dataclass(frozen=True, slots=True)
class RawResponse:
    """What was received on a connection until the answer or connection ended.

    :ivar cut: the connection ended before the answer was complete
    """

    status: int
    headers: dict[str, str]
    body: bytes
    cut: bool = False


async def send_request(
    port: int,
    path: str,
    *,
    method: str = 'GET',
    body: bytes = b'',
    headers: dict[str, str] | None = None,
    attempt: str = 'a1',
) -> RawResponse:
    """Send one request on a new connection and read the answer."""
    all_headers = {
        'Host': HOST,
        'Bergamotshed-Attempt-Id': attempt,
        'Authorization': f'Bearer {KEY}',
        **(headers or {}),
    }
    if body:
        all_headers['Content-Length'] = str(len(body))
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in all_headers.items()]
    writer.write('\r\n'.join((*lines, '', '')).encode() + body)
    try:
        async with asyncio.timeout(10):
            return await read_answer(reader)
    finally:
        writer.close()


async def read_answer(reader: asyncio.StreamReader) -> RawResponse:
    """Read one answer, chunked or sized."""
    try:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    except (asyncio.IncompleteReadError, ConnectionError):
        return RawResponse(0, {}, b'', cut=True)
    first, *rest = head.strip().split('\r\n')
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(':') for line in rest)
    }
    status = int(first.split()[1])
    body = b''
    try:
        if 'content-length' in headers:
            body = await reader.readexactly(int(headers['content-length']))
            return RawResponse(status, headers, body)
        while size := int(await reader.readuntil(b'\r\n'), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    except (asyncio.IncompleteReadError, ConnectionError):
        return RawResponse(status, headers, body, cut=True)
    return RawResponse(status, headers, body)
