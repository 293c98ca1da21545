"""
tools.measure.path
~~~~~~~~~~~~~~~~~~

Measures the overhead of one router: latency added to a direct call to the
engine, and processor time per request and per stream event. Run it as
``python -m tools.measure.path``; it starts an engine, a router and the
platform's stand-ins, and stops them at the end.
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
WARM_UP_PAIRS = 50
MS_PER_S = 1e3
US_PER_S = 1e6
PERCENTILES = 100
CPU_TICKS_PER_S = os.sysconf('SC_CLK_TCK')


@dataclass(frozen=True, slots=True)
class AnswerTiming:
    """Time to the first event and to the end of one answer."""

    first_event_s: float
    total_s: float


@dataclass(frozen=True, slots=True)
class ProcessorCost:
    """Processor time of the router for a number of requests or events."""

    count: int
    cpu_s: float
    elapsed_s: float

    @property
    def rate_per_core(self) -> float:
        """Return how many a second one core could handle."""
        return self.count / self.cpu_s

    @property
    def cpu_us_each(self) -> float:
        """Return the processor time of one request or event."""
        return self.cpu_s / self.count * US_PER_S


class PathBench:
    """Sends chats to the engine directly and through the router."""

    def __init__(self, cluster: Cluster, session: ClientSession) -> None:
        self._session = session
        self._cluster = cluster
        self._request_count = 0

    async def call_engine(self, tokens: int) -> AnswerTiming:
        """Send a chat directly to the engine."""
        self._request_count += 1
        body = {
            **self._body(tokens),
            'request': f'direct-{self._request_count}',
            'attempt': 1,
            'version': 'v1',
        }
        return await self._time_answer(self._cluster.addresses[ENGINE], body)

    async def call_router(self, tokens: int) -> AnswerTiming:
        """Send a chat to the router."""
        self._request_count += 1
        body = {**self._body(tokens), 'stream': True}
        return await self._time_answer(self._cluster.addresses[ROUTER], body)

    async def time_pairs(
        self, count: int
    ) -> list[tuple[AnswerTiming, AnswerTiming]]:
        """Call the engine and the router in turn, one request at a time."""
        return [
            (await self.call_engine(1), await self.call_router(1))
            for _ in range(count)
        ]

    async def measure_cost(
        self, count: int, tokens: int, concurrency: int, events_per_chat: int
    ) -> ProcessorCost:
        """Measure the router's processor time for routed chats.

        :param events_per_chat: how many requests or events a chat counts as
        """
        before = self._router_cpu_s()
        start = time.perf_counter()
        await _run_concurrently(
            lambda: self.call_router(tokens), count, concurrency
        )
        return ProcessorCost(
            count * events_per_chat,
            self._router_cpu_s() - before,
            time.perf_counter() - start,
        )

    def _body(self, tokens: int) -> dict[str, Any]:
        content = f'chat {self._request_count} tokens={tokens}'
        return {
            'model': MODEL,
            'messages': [{'role': 'user', 'content': content}],
            'max_tokens': tokens,
        }

    async def _time_answer(
        self, address: str, body: dict[str, Any]
    ) -> AnswerTiming:
        start = time.perf_counter()
        first_event_s: float = 0
        last_chunk = b''
        async with self._session.post(
            f'http://{address}/v1/chat/completions',
            json=body,
            headers={'X-Organisation': ORGANISATION},
        ) as response:
            while chunk := await response.content.readany():
                first_event_s = first_event_s or time.perf_counter() - start
                last_chunk = chunk
        if not last_chunk.endswith(b'data: [DONE]\n\n'):
            raise RuntimeError(
                f'incomplete answer, its last chunk is {last_chunk!r}'
            )
        return AnswerTiming(first_event_s, time.perf_counter() - start)

    def _router_cpu_s(self) -> float:
        pid = self._cluster.pid(ROUTER)
        stat = Path(f'/proc/{pid}/stat').read_text()
        ticks = stat.rpartition(') ')[2].split()[11:13]
        return sum(map(int, ticks)) / CPU_TICKS_PER_S


async def _run_concurrently(
    work: Callable[[], Awaitable[Any]], count: int, concurrency: int
) -> None:
    remaining = iter(range(count))

    async def worker() -> None:
        for _ in remaining:
            await work()

    await asyncio.gather(*(worker() for _ in range(concurrency)))


def _percentile(values: list[float], percent: int) -> float:
    return statistics.quantiles(values, n=PERCENTILES)[percent - 1]


def _print_latencies(pairs: list[tuple[AnswerTiming, AnswerTiming]]) -> None:
    columns = {
        'first event': [
            (direct.first_event_s, routed.first_event_s)
            for direct, routed in pairs
        ],
        'whole answer': [
            (direct.total_s, routed.total_s) for direct, routed in pairs
        ],
    }
    print(f'{"ms":<14}{"direct":>16}{"routed":>16}{"added":>16}')
    print(f'{"":<14}' + f'{"p50":>8}{"p99":>8}' * 3)
    for name, times in columns.items():
        direct, routed = (list(side) for side in zip(*times, strict=True))
        percentiles_ms = [
            _percentile(side, percent) * MS_PER_S
            for side in (direct, routed)
            for percent in (50, 99)
        ]
        added_ms = [
            percentiles_ms[2] - percentiles_ms[0],
            percentiles_ms[3] - percentiles_ms[1],
        ]
        print(
            f'{name:<14}'
            + ''.join(f'{f:>8.2f}' for f in percentiles_ms + added_ms)
        )


def _print_cost(name: str, cost: ProcessorCost) -> None:
    print(
        f'{name:<14}{cost.cpu_us_each:>8.0f} us of processor time each, '
        f'{cost.rate_per_core:>8.0f} a second per core '
        f'({cost.count} in {cost.elapsed_s:.1f} s)'
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
            await bench.time_pairs(WARM_UP_PAIRS)
            _print_latencies(await bench.time_pairs(options.pairs))
            requests = await bench.measure_cost(
                options.requests, 1, options.at_once, 1
            )
            _print_cost('request', requests)
            tokens = options.tokens
            events = await bench.measure_cost(
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
