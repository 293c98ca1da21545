"""Machines freeze while they are told to stop, and clients go on."""

import asyncio
import os
import random
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from lab.clients import Attempt, Connection  # noqa: E402
from lab.engines import Engine, Run  # noqa: E402
from lab.gateways import Gateway  # noqa: E402
from lab.run import BROKEN, HELD, NOT_RUN, run  # noqa: E402
from lab.site import Site, route  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
CLIENTS = 500
MEAN_PAUSE_S = 8.0
#: Four fifths of the configuration's `idle_timeout_ms`.
LONGEST_REST_S = 12.0
DEADLINE_MS = 1500
GRACE_S = 8.0
FREEZE_S = 3.5
CONTACT_S = 3.0
#: How long after the begin of the freeze SIGTERM comes.
TERM_AFTER_S = 0.2
RESTART_DELAY_S = 0.3


class OvenEngine(Engine):
    async def work(self, run: Run) -> None:
        await asyncio.sleep(random.uniform(0.05, 0.5))


class Stop:
    """One planned stop of a machine.

    :ivar woke_at: when its freeze ended; ``None`` without one
    """

    def __init__(self, gateway: Gateway) -> None:
        self.address = gateway.front
        self.signalled_at = 0.0
        self.woke_at: float | None = None
        self.ended_at = 0.0
        self._gateway = gateway

    async def run(self) -> None:
        gateway = self._gateway
        if TROUBLE:
            gateway.send_signal(signal.SIGSTOP)
            await asyncio.sleep(TERM_AFTER_S)
        self.signalled_at = time.monotonic()
        gateway.send_signal(signal.SIGTERM)
        if TROUBLE:
            await asyncio.sleep(FREEZE_S - TERM_AFTER_S)
            gateway.send_signal(signal.SIGCONT)
            self.woke_at = time.monotonic()
        left_s = self.signalled_at + GRACE_S - time.monotonic()
        try:
            await asyncio.wait_for(gateway.process.wait(), left_s)
        except TimeoutError:
            await gateway.kill()
        self.ended_at = time.monotonic()
        await asyncio.sleep(RESTART_DELAY_S)
        gateway.restart_settings()
        await gateway.start()
        await gateway.wait_ready()

    def judge(self, each: Attempt, run: Run | None) -> bool:
        """Return whether an attempt was lost and nothing excuses it."""
        since_s = each.sent_at - self.signalled_at
        if each.address != self.address or not 0 <= since_s <= GRACE_S + 1:
            return False
        if each.is_complete or each.ending == 'deadline' or run is None:
            return False
        if self.woke_at is not None:
            return each.sent_at > self.woke_at + CONTACT_S
        at_work_s = each.ended_at - self.signalled_at
        return not (since_s <= 3 and at_work_s >= GRACE_S * 5 / 6)


class Client:
    """Keeps one connection and uses it until it is closed."""

    def __init__(self, number: int, site: Site, attempts: list) -> None:
        self._number = number
        self._site = site
        self._attempts = attempts
        self._connection: Connection | None = None
        self._listed: list[str] = []
        self._listed_until = 0.0
        self._stretch = 3 if number % 3 == 0 else 1

    async def run(self) -> None:
        await asyncio.sleep(random.uniform(0, MEAN_PAUSE_S))
        while True:
            await self._send()
            pause_s = random.expovariate(1 / MEAN_PAUSE_S)
            await asyncio.sleep(min(pause_s, LONGEST_REST_S))

    async def _refresh(self) -> None:
        if time.monotonic() < self._listed_until:
            return
        for gateway in random.sample(self._site.gateways, 3):
            addresses, lifetime = await gateway.entries()
            if addresses:
                self._listed = addresses
                self._listed_until = (
                    time.monotonic() + lifetime * self._stretch
                )
                return

    async def _send(self) -> None:
        connection = self._connection
        if connection is not None and connection.is_closed_by_peer:
            connection.close()
        if connection is None or not connection.is_open:
            await self._refresh()
            if not self._listed:
                return
            connection = Connection(random.choice(self._listed))
            try:
                await connection.open()
            except (OSError, TimeoutError):
                return
            self._connection = connection
        name = f'c{self._number}-{len(self._attempts)}'
        self._attempts.append(
            await connection.request(
                name, '/preheat-start/x', deadline_ms=DEADLINE_MS
            )
        )


async def main() -> int:
    engines = [OvenEngine(f'i-{n}', 'oven-api', 40) for n in range(3)]
    attempts: list[Attempt] = []
    stops: list[Stop] = []
    async with Site(4, engines) as site:
        site.configure(
            {
                'routes': [
                    route(
                        'preheat-start',
                        'oven-api',
                        'non_idempotent',
                        timeout_ms=DEADLINE_MS,
                        target_latency_ms=200,
                    )
                ],
                'services': [{'name': 'oven-api', 'max_connections': 400}],
                'tenants': [{'name': 'org', 'api_keys': ['key-1']}],
            }
        )
        await site.start_gateways()
        clients = [
            asyncio.ensure_future(Client(n, site, attempts).run())
            for n in range(CLIENTS)
        ]
        await asyncio.sleep(10)
        for gateway in site.gateways:
            stop = Stop(gateway)
            stops.append(stop)
            await stop.run()
            await asyncio.sleep(8)
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
    return judge(engines, attempts, stops)


def judge(engines: list, attempts: list, stops: list) -> int:
    runs = {each.attempt: each for engine in engines for each in engine.runs}
    lines = []
    lost = 0
    for stop in stops:
        lines.append(
            f'{stop.address}: SIGTERM, ended '
            f'{stop.ended_at - stop.signalled_at:.3f} s later'
        )
        if stop.woke_at is not None:
            woke_s = stop.woke_at - stop.signalled_at
            lines.append(f'  woke {woke_s:.3f} s after SIGTERM')
        for each in attempts:
            ran = runs.get(each.attempt)
            if stop.judge(each, ran):
                lost += 1
                lines.append(
                    f'  {each.attempt} sent '
                    f'{each.sent_at - stop.signalled_at:.3f} s after SIGTERM, '
                    f'passed on to {ran.engine}, '
                    f'{each.ended_at - each.sent_at:.3f} s later {each.ending}'
                )
    answered = sum(each.status == 200 for each in attempts)
    refused = sum(each.status == 503 for each in attempts)
    lines.append(
        f'{len(attempts)} attempts, {answered} answered, {refused} refused; '
        f'{len(stops)} planned stops, {lost} requests lost that were passed on'
    )
    (HERE / 'record.txt').write_text('\n'.join(lines) + '\n')
    print(lines[-1])
    if answered < 100:
        return NOT_RUN
    return BROKEN if lost else HELD


if __name__ == '__main__':
    run(main)
