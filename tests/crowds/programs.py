"""
tests.crowds.programs
~~~~~~~~~~~~~~~~~~~~~

The two programs as processes of their own, with few descriptors, what a test
measures of them, and an ordinary request.
"""

__all__ = (
    'DESCRIPTORS',
    'Program',
    'running_gateway_program',
    'running_router',
)

import asyncio
import os
import re
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

from aiohttp import ClientError, ClientSession, ClientTimeout

from tests.cluster_plan import ClusterPlan
from tests.gateway.support import (
    GatewayEnvironment,
    configuration,
    send_request,
    upstream_entry,
)
from tests.harness import ROOT, free_ports, running_cluster
from tests.standins.keyedstore import KeyedStoreStandIn
from tests.standins.rawupstream import (
    RawRequest,
    RawUpstream,
    sealed_answer,
)
from tests.waiting import until

from .forms import (
    GATEWAY_LARGE_REQUEST,
    GATEWAY_REQUEST,
    ROUTER_REQUEST,
    Target,
)

#: Descriptors that a program may open.
DESCRIPTORS = 256
GATEWAY_MEMORY_MB = 192
GATEWAY_MAX_BODY = 4_194_304
LARGE_ANSWER_BYTES = 250_000
ROUTER_MAX_BODY = 16_777_216
#: Default of the program: the memory of the smallest VM.
ROUTER_MEMORY_MB = 430
KILOBYTES_PER_MEGABYTE = 1024
ANSWER_TIMEOUT_S = 30
REQUEST_TIMEOUT = ClientTimeout(total=5)
#: Runs a command with few descriptors.
LIMITED = ('sh', '-c', f'ulimit -n {DESCRIPTORS} && exec "$0" "$@"')
GATEWAY_PORTS = (
    'callers',
    'health',
    'directory',
    'peers',
    'operators',
    'relay',
)
PAGES = {
    'health': '/v1/health',
    'directory': '/v1/entries',
    'operators': '/health',
}


@dataclass(frozen=True, slots=True)
class Program:
    """A running program.

    :ivar addresses: ``ip:port`` by what it serves
    :ivar target: a request that its callers' address takes
    :ivar memory_mb: memory of its machine
    """

    pid: int
    addresses: dict[str, str]
    target: Target
    memory_mb: int
    _is_alive: Callable[[], bool]
    _is_answered: Callable[[], Awaitable[bool]]

    @property
    def is_alive(self) -> bool:
        """Return whether the process has not ended."""
        return self._is_alive()

    @property
    def peak_mb(self) -> float:
        """Return the most memory that it has had resident so far."""
        status = Path(f'/proc/{self.pid}/status').read_text()
        found = re.search(r'VmHWM:\s+(\d+) kB', status)
        assert found is not None
        return int(found[1]) / KILOBYTES_PER_MEGABYTE

    @property
    def descriptors(self) -> int:
        """Return how many descriptors it has open."""
        return len(os.listdir(f'/proc/{self.pid}/fd'))

    async def wait_answer(self) -> None:
        """Send ordinary requests until one is answered.

        :raises TimeoutError: none is
        """
        await until(self._is_answered, ANSWER_TIMEOUT_S)

    async def wait_page(self, name: str) -> None:
        """Ask for a page of an address until it is answered.

        :raises TimeoutError: it never is
        """
        url = f'http://{self.addresses[name]}{PAGES[name]}'

        async def is_answered() -> bool:
            try:
                async with (
                    ClientSession(timeout=REQUEST_TIMEOUT) as session,
                    session.get(url) as response,
                ):
                    return response.status == 200
            except (ClientError, TimeoutError):
                return False

        await until(is_answered, ANSWER_TIMEOUT_S)


@asynccontextmanager
async def running_gateway_program(directory: Path) -> AsyncIterator[Program]:
    """Run the ``gateway`` program with one upstream."""
    async with (
        KeyedStoreStandIn().serving() as store,
        RawUpstream(_answer).serving() as upstream,
    ):
        ports = free_ports(len(GATEWAY_PORTS))
        addresses = {
            name: f'127.0.0.1:{port}'
            for name, port in zip(GATEWAY_PORTS, ports, strict=True)
        }
        path = directory / 'gateway.ini'
        path.write_text(_gateway_settings(addresses, store.address))
        with (directory / 'gateway.out').open('wb') as output:
            process = await asyncio.create_subprocess_exec(
                *LIMITED,
                sys.executable,
                '-m',
                'bergamotshed',
                'gateway',
                env={
                    **os.environ,
                    'PYTHONPATH': str(ROOT / 'src'),
                    'BERGAMOTSHED_BOOT': str(path),
                },
                stdout=output,
                stderr=output,
            )
        env = GatewayEnvironment(None, store, [upstream])  # type: ignore[arg-type]
        store.put('keyed.servers', 'i-0', upstream_entry(upstream.address))
        store.put('keyed.op', 'config', configuration(env, 3000))

        async def is_answered() -> bool:
            try:
                async with asyncio.timeout(5):
                    answer = await send_request(ports[0], '/once/b')
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                return False
            return answer.status == 200

        program = Program(
            process.pid,
            addresses,
            Target(GATEWAY_REQUEST, GATEWAY_LARGE_REQUEST, GATEWAY_MAX_BODY),
            GATEWAY_MEMORY_MB,
            lambda: process.returncode is None,
            is_answered,
        )
        try:
            await program.wait_answer()
            yield program
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()


async def _answer(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    is_large = 'large' in request.line
    body = b'z' * LARGE_ANSWER_BYTES if is_large else b'fine'
    writer.write(sealed_answer(request, body))


def _gateway_settings(addresses: dict[str, str], store: str) -> str:
    lines = ['[node]', 'name = gw-1', 'domain = a', 'grace_s = 3']
    lines += ['[addresses]']
    lines += [f'{name} = {address}' for name, address in addresses.items()]
    lines += ['[store]', f'address = {store}', '[directory]']
    lines += [
        'lifetime_s = 0.3',
        '[limits]',
        f'memory_mb = {GATEWAY_MEMORY_MB}',
    ]
    return '\n'.join(lines)


@asynccontextmanager
async def running_router(directory: Path) -> AsyncIterator[Program]:
    """Run the ``router`` program with one engine."""
    plan = ClusterPlan(
        engines={'drafting': 1},
        routers=1,
        max_body=ROUTER_MAX_BODY,
        router_command=(*LIMITED, sys.executable, '-m', 'bergamotshed'),
    )
    async with running_cluster(plan, directory) as cluster:

        async def is_answered() -> bool:
            try:
                async with asyncio.timeout(5):
                    reply = await cluster.chat(1, 'hello tokens=2')
            except (OSError, TimeoutError, ClientError):
                return False
            return reply.is_complete

        program = Program(
            cluster.pid('router-1'),
            {
                'callers': cluster.addresses['router-1'],
                'operators': cluster.operators_address(1),
                'peers': cluster.peers_address(1),
            },
            Target(ROUTER_REQUEST, ROUTER_REQUEST, ROUTER_MAX_BODY),
            ROUTER_MEMORY_MB,
            lambda: cluster.exit_code('router-1') is None,
            is_answered,
        )
        await program.wait_answer()
        yield program
