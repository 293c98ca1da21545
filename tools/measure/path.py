"""
tools.measure.path
~~~~~~~~~~~~~~~~~~

What one router adds to a chat: time over a direct call to the engine, and
processor time for each request and each event of a stream. Run it as
``python -m tools.measure.path``; it starts an engine, a router and the
platform's stand-ins, and ends them.
"""

__all__ = ('main',)

import argparse
import asyncio
import os
import statistics
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from aiohttp import ClientSession, TCPConnector
from tests.harness import Cluster, ClusterPlan, running_cluster

ROUTER = 'router-1'
ENGINE = 'drafting-1'
MODEL = 'route-notes'
ORGANISATION = 'quito-central'
WARM_UP = 50
MILLISECONDS = 1e3
MICROSECONDS = 1e6
PERCENTILES = 100
TICKS_PER_S = os.sysconf('SC_CLK_TCK')


@dataclass(frozen=True, slots=True)
class Timing:
    """Seconds to the first event and to the end of one answer."""

    first: float
    whole: float


@dataclass(frozen=True, slots=True)
class Cost:
    """Processor time of the router for some amount of work."""

    work: int
    cpu_s: float
    elapsed_s: float

    @property
    def per_core(self) -> float:
        """Return the work that one core could do in a second."""
        return self.work / self.cpu_s

    @property
    def microseconds(self) -> float:
        """Return the processor time of one piece."""
        return self.cpu_s / self.work * MICROSECONDS


class PathBench:
    """Sends chats to the engine directly and by way of the router."""

    def __init__(self, cluster: Cluster, session: ClientSession) -> None:
        self._session = session
        self._cluster = cluster
        self._count = 0

    async def direct(self, tokens: int) -> Timing:
        """Ask the engine itself."""
        self._count += 1
        body = {
            **self._body(tokens),
            'request': f'direct-{self._count}',
            'attempt': 1,
            'version': 'v1',
        }
        return await self._time(self._cluster.addresses[ENGINE], body)

    async def routed(self, tokens: int) -> Timing:
        """Ask the router."""
        self._count += 1
        body = {**self._body(tokens), 'stream': True}
        return await self._time(self._cluster.addresses[ROUTER], body)

    async def pairs(self, count: int) -> list[tuple[Timing, Timing]]:
        """Ask both in turn, one request at a time."""
        return [
            (await self.direct(1), await self.routed(1)) for _ in range(count)
        ]

    async def cost(
        self, count: int, tokens: int, at_once: int, events: int
    ) -> Cost:
        """Measure the router's processor time for routed chats.

        :param events: pieces of work in each chat
        """
        before = self._router_cpu_s()
        start = time.perf_counter()
        await _in_parallel(lambda: self.routed(tokens), count, at_once)
        return Cost(
            count * events,
            self._router_cpu_s() - before,
            time.perf_counter() - start,
        )

    def _body(self, tokens: int) -> dict[str, Any]:
        content = f'chat {self._count} tokens={tokens}'
        return {
            'model': MODEL,
            'messages': [{'role': 'user', 'content': content}],
            'max_tokens': tokens,
        }

    async def _time(self, address: str, body: dict[str, Any]) -> Timing:
        start = time.perf_counter()
        first: float = 0
        received = b''
        async with self._session.post(
            f'http://{address}/v1/chat/completions',
            json=body,
            headers={'X-Organisation': ORGANISATION},
        ) as response:
            while chunk := await response.content.readany():
                first = first or time.perf_counter() - start
                received = chunk
        if not received.endswith(b'data: [DONE]\n\n'):
            raise RuntimeError(f'no whole answer: {received!r}')
        return Timing(first, time.perf_counter() - start)

    def _router_cpu_s(self) -> float:
        process = self._cluster.pid(ROUTER)
        stat = Path(f'/proc/{process}/stat').read_text()
        times = stat.rpartition(') ')[2].split()[11:13]
        return sum(map(int, times)) / TICKS_PER_S


async def _in_parallel(
    work: Callable[[], Awaitable[Any]], count: int, at_once: int
) -> None:
    left = iter(range(count))

    async def worker() -> None:
        for _ in left:
            await work()

    await asyncio.gather(*(worker() for _ in range(at_once)))


def _percentile(values: list[float], percent: int) -> float:
    return statistics.quantiles(values, n=PERCENTILES)[percent - 1]


def _print_added(pairs: list[tuple[Timing, Timing]]) -> None:
    columns = {
        'first event': [(d.first, r.first) for d, r in pairs],
        'whole answer': [(d.whole, r.whole) for d, r in pairs],
    }
    print(f'{"ms":<14}{"direct":>16}{"routed":>16}{"added":>16}')
    print(f'{"":<14}' + f'{"p50":>8}{"p99":>8}' * 3)
    for name, times in columns.items():
        direct, routed = (list(side) for side in zip(*times, strict=True))
        figures = [
            _percentile(side, percent) * MILLISECONDS
            for side in (direct, routed)
            for percent in (50, 99)
        ]
        added = [figures[2] - figures[0], figures[3] - figures[1]]
        print(f'{name:<14}' + ''.join(f'{f:>8.2f}' for f in figures + added))


def _print_cost(name: str, cost: Cost) -> None:
    print(
        f'{name:<14}{cost.microseconds:>8.0f} us of processor time each, '
        f'{cost.per_core:>8.0f} a second per core '
        f'({cost.work} in {cost.elapsed_s:.1f} s)'
    )


async def _measure(options: argparse.Namespace) -> None:
    engine_options = ('--token-ms', str(options.token_ms), '--slots', '256')
    plan = ClusterPlan(
        routers=1, engines={'drafting': 1}, engine_options=engine_options
    )
    with tempfile.TemporaryDirectory() as directory:
        async with (
            running_cluster(plan, Path(directory)) as cluster,
            ClientSession(connector=TCPConnector(limit=0)) as session,
        ):
            bench = PathBench(cluster, session)
            await bench.pairs(WARM_UP)
            _print_added(await bench.pairs(options.pairs))
            requests = await bench.cost(options.requests, 1, options.at_once, 1)
            _print_cost('request', requests)
            tokens = options.tokens
            events = await bench.cost(
                options.streams, tokens, options.at_once, tokens
            )
            _print_cost('stream event', events)


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--pairs', type=int, default=400)
    parser.add_argument('--requests', type=int, default=2000)
    parser.add_argument('--streams', type=int, default=64)
    parser.add_argument('--tokens', type=int, default=300)
    parser.add_argument('--at-once', type=int, default=16)
    parser.add_argument('--token-ms', type=float, default=2)
    asyncio.run(_measure(parser.parse_args()))


if __name__ == '__main__':
    main()
