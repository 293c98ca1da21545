"""
tools.measure.returns
~~~~~~~~~~~~~~~~~~~~~

Measures how soon gateways follow a store that comes back from an older copy,
and how many calls they make to it: ``python -m tools.measure.returns``.

All gateways run in this process, each with its own HTTP session.
"""

import asyncio
import random
import statistics
import time
from collections import Counter
from contextlib import AsyncExitStack

from aiohttp import ClientSession
from tests.gateway.support import (
    CONFIGURATION,
    UPSTREAMS,
    GatewayEnvironment,
    configuration,
    make_settings,
    serving,
    upstream_entry,
)
from tests.standins.keyedstore import KeyedStoreStandIn
from tests.waiting import until

from bergamotshed.clock import SystemClock
from bergamotshed.gateway.composition import build_gateway
from bergamotshed.gateway.live_settings import LiveSettings
from bergamotshed.gateway.parts import Gateway
from bergamotshed.process.journal import Journal

ROUTER_COUNTS = (5, 33)
RETURNS = 20
SEED = 20261204
#: Configurations and upstreams that are lost with each return.
MAX_LOST_RECORDS = 5
CALL_WINDOW_S = 5
START_TIMEOUT_S = 60
FOLLOW_TIMEOUT_S = 10


class ReturningFleet:
    """Gateways before one store.

    :param router_count: number of gateways, in three failure domains
    """

    def __init__(self, router_count: int) -> None:
        self.store = KeyedStoreStandIn()
        self.store.era = 1
        self._gateways: list[Gateway] = []
        self._router_count = router_count
        self._environment = GatewayEnvironment(None, self.store, [])  # type: ignore[arg-type]
        self._probes = 0

    async def start(self, stack: AsyncExitStack) -> None:
        """Start the store and the gateways and wait until all are ready."""
        await stack.enter_async_context(self.store.serving())
        self.write()
        clock = SystemClock()
        for number in range(self._router_count):
            session = await stack.enter_async_context(ClientSession())
            settings = make_settings(
                self.store.address, 5000, 8, f'gw-{number}'
            )
            gateway = build_gateway(
                LiveSettings(settings, '', clock), session, clock, Journal()
            )
            await stack.enter_async_context(serving(gateway))
            announcing = asyncio.ensure_future(gateway.announcer.run())
            stack.callback(announcing.cancel)
            self._gateways.append(gateway)
        await until(self._know_each_other, START_TIMEOUT_S)

    def write(self) -> None:
        """Write a configuration and an upstream, as their owners do."""
        self._probes += 1
        self._environment.version += 1
        self.store.put(
            CONFIGURATION, 'config', configuration(self._environment, 3000)
        )
        self.store.put(
            UPSTREAMS, f'i-{self._probes}', upstream_entry('127.0.0.1:1')
        )

    async def return_once(self, rng: random.Random) -> tuple[float, int]:
        """Return from a copy.

        :returns: seconds until all gateways have what was written right
            afterwards, and the calls to the store in the window
        """
        copy = self.store.copy()
        for _ in range(rng.randint(1, MAX_LOST_RECORDS)):
            self.write()
        await until(self._are_current, FOLLOW_TIMEOUT_S)
        self.store.called_paths.clear()
        self.store.return_from(copy)
        returned_at = time.monotonic()
        self.write()
        await until(self._are_current, FOLLOW_TIMEOUT_S)
        followed_s = time.monotonic() - returned_at
        await asyncio.sleep(max(0, CALL_WINDOW_S - followed_s))
        return followed_s, len(self.store.called_paths)

    def _are_current(self) -> bool:
        upstream = f'i-{self._probes}'
        return all(
            gateway.fleet.routing.version == self._environment.version
            and upstream in gateway.fleet.registry.instances
            for gateway in self._gateways
        )

    def _know_each_other(self) -> bool:
        return self._are_current() and all(
            gateway.fleet.roster.count() == self._router_count
            for gateway in self._gateways
        )


async def measure(router_count: int) -> None:
    """Print one row of the table."""
    rng = random.Random(SEED)
    async with AsyncExitStack() as stack:
        fleet = ReturningFleet(router_count)
        await fleet.start(stack)
        await asyncio.sleep(CALL_WINDOW_S)
        fleet.store.called_paths.clear()
        await asyncio.sleep(CALL_WINDOW_S)
        calm_calls = len(fleet.store.called_paths)
        rows = [await fleet.return_once(rng) for _ in range(RETURNS)]
        paths = Counter(fleet.store.called_paths)
    times = [seconds for seconds, _ in rows]
    calls = [count for _, count in rows]
    print(
        f'| {router_count} | {statistics.median(times):.2f} | '
        f'{max(times):.2f} | {statistics.median(calls):.0f} | {max(calls)} | '
        f'{calm_calls} | {dict(paths)} |'
    )


def main() -> None:
    """Measure each number of routers."""
    print(
        '| routers | s until all follow, median | worst '
        '| calls in the 5 s after, median | most | calm | last, by path |'
    )
    for router_count in ROUTER_COUNTS:
        asyncio.run(measure(router_count))


if __name__ == '__main__':
    main()
