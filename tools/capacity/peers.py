"""
tools.capacity.peers
~~~~~~~~~~~~~~~~~~~~

Measures the peer protocol of one router against stand-in peers, with new
processes for each size.
"""

__all__ = ('by_peers', 'by_received_requests', 'by_sent_requests')

import asyncio
import json
import sys
from asyncio.subprocess import PIPE, Process

from .linear_fit import Series

MEASURE_TIMEOUT_S = 30
QUANTITIES = {
    'sent': ('bytes sent', 'B/s'),
    'received': ('bytes received', 'B/s'),
    'core': ('processor', 'part of a core'),
    'memory': ('memory over the imports', 'B'),
    'connections': ('open connections', '1'),
}


async def _start(module: str, *arguments: object) -> Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        module,
        *map(str, arguments),
        stdin=PIPE,
        stdout=PIPE,
    )


async def _read_line(process: Process) -> bytes:
    assert process.stdout is not None
    return await process.stdout.readline()


def _write_line(process: Process, line: bytes) -> None:
    assert process.stdin is not None
    process.stdin.write(line)


async def measure(
    peers: int, sent_rate: float = 0, received_rate: float = 0
) -> dict[str, float]:
    """Return the router's cost a second with one number of peers.

    :param sent_rate: placement requests a second that the router sends
    :param received_rate: placement requests a second that it receives as
        home
    """
    standins = await _start(
        'tools.capacity.standin_peers', peers, received_rate
    )
    router = await _start('tools.capacity.measured_router', sent_rate)
    try:
        async with asyncio.timeout(MEASURE_TIMEOUT_S):
            _write_line(router, await _read_line(standins))
            _write_line(standins, await _read_line(router))
            result: dict[str, float] = json.loads(await _read_line(router))
            await router.wait()
            return result
    finally:
        for process in (standins, router):
            if process.returncode is None:
                process.kill()
                await process.wait()


def _series(
    variable: str,
    sizes: tuple[float, ...],
    results: list[dict[str, float]],
    label: str,
) -> list[Series]:
    suspect_counts = [result['suspects'] for result in results]
    assert not any(suspect_counts), 'the router suspects a stand-in peer'
    return [
        Series(
            f'{label}: {name}',
            unit,
            variable,
            sizes,
            tuple(result[key] for result in results),
        )
        for key, (name, unit) in QUANTITIES.items()
    ]


def by_peers(sizes: tuple[int, ...]) -> list[Series]:
    """Measure a router without requests, by number of peers."""
    results = [asyncio.run(measure(size)) for size in sizes]
    return _series('peers', sizes, results, 'no requests')


def by_sent_requests(rates: tuple[float, ...], peers: int) -> list[Series]:
    """Measure by placement requests a second that the router sends."""
    results = [asyncio.run(measure(peers, sent_rate=rate)) for rate in rates]
    return _series('sent requests/s', rates, results, f'{peers} peers')


def by_received_requests(rates: tuple[float, ...], peers: int) -> list[Series]:
    """Measure by placement requests a second that it receives as home."""
    results = [
        asyncio.run(measure(peers, received_rate=rate)) for rate in rates
    ]
    return _series('received requests/s', rates, results, f'{peers} peers')
