"""Promise 7: an accepted configuration takes effect and is never rolled back.

Each configuration has a different lifetime of entry addresses. Routers return
it to callers, so it shows which configuration a router uses.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import signal
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest
import pytest_asyncio
from aiohttp import ClientError

from bergamotshed.operators.publish import PublishAccepted, PublishRefused

from ..caller import REFUSED
from ..harness import Cluster, ClusterPlan, example_fleet, running_cluster
from ..waiting import until

pytestmark = [
    pytest.mark.processes,
    pytest.mark.asyncio(loop_scope='module'),
]
FIRST_LIFETIME_S = 100
PLAN = ClusterPlan(
    {'drafting': 1}, entries_lifetime=FIRST_LIFETIME_S, has_log_relays=True
)
MAX_PROPAGATION_S = 2
MAX_PROPAGATION_WHEN_CUT_S = 5
RECOVERY_TIMEOUT_S = 10
PUBLISH_COUNT = 25
CONCURRENT_PUBLISHES = 6
CONFIGURATION_APPEND = 'POST /v1/streams/configuration'


class Operator:
    """Publishes one configuration after another.

    :ivar version: version of the newest accepted configuration
    :ivar lifetime_s: its lifetime of entry addresses, which identifies it
    """

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.version = 0
        self.lifetime_s = FIRST_LIFETIME_S
        self._lifetimes_s = itertools.count(FIRST_LIFETIME_S + 1)

    async def publish(self, base: int | None = None) -> Any:
        """Publish a configuration; ``base`` defaults to the newest version."""
        lifetime_s = next(self._lifetimes_s)
        plan = dataclasses.replace(PLAN, entries_lifetime=lifetime_s)
        fleet = example_fleet(plan)
        base_version = self.version if base is None else base
        outcome = await self.cluster.publish(fleet, base_version)
        if isinstance(outcome, PublishAccepted):
            self.version = outcome.version
            self.lifetime_s = lifetime_s
        return outcome

    async def lifetimes(self) -> list[int]:
        """Return the lifetime that each router returns; 0 if unreachable."""
        return list(
            await asyncio.gather(
                *map(self._lifetime_at, self.cluster.router_addresses)
            )
        )

    async def is_in_force(self) -> bool:
        """Return whether every router uses the newest configuration."""
        return set(await self.lifetimes()) == {self.lifetime_s}

    async def _lifetime_at(self, address: str) -> int:
        with contextlib.suppress(ClientError):
            url = f'http://{address}/v1/entries'
            async with self.cluster.session.get(url) as response:
                return int((await response.json()).get('lifetime', 0))
        return 0


@pytest_asyncio.fixture(loop_scope='module', scope='module')
async def operator(
    tmp_path_factory: pytest.TempPathFactory,
) -> AsyncIterator[Operator]:
    async with running_cluster(
        PLAN, tmp_path_factory.mktemp('configuration')
    ) as cluster:
        yield Operator(cluster)


@asynccontextmanager
async def assert_no_rollback(operator: Operator) -> AsyncIterator[None]:
    """Check that no router returns to an older version, even if restarted."""
    highest = [0] * PLAN.routers
    rollbacks: list[tuple[int, int, int]] = []

    async def watch() -> None:
        while True:
            for number, lifetime_s in enumerate(await operator.lifetimes()):
                if FIRST_LIFETIME_S <= lifetime_s < highest[number]:
                    rollbacks.append((number, highest[number], lifetime_s))
                highest[number] = max(highest[number], lifetime_s)
            await asyncio.sleep(0.01)

    watcher = asyncio.create_task(watch())
    try:
        yield
    finally:
        watcher.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await watcher
    assert rollbacks == []


async def seconds_until(
    condition: Callable[[], Any], timeout_s: float
) -> float:
    started_at = time.monotonic()
    await until(condition, timeout_s)
    return time.monotonic() - started_at


async def test_an_accepted_configuration_reaches_all_routers(
    operator: Operator,
) -> None:
    durations_s = []
    async with assert_no_rollback(operator):
        for _ in range(PUBLISH_COUNT):
            assert isinstance(await operator.publish(), PublishAccepted)
            durations_s.append(
                await seconds_until(operator.is_in_force, MAX_PROPAGATION_S * 2)
            )
    assert max(durations_s) < MAX_PROPAGATION_S


async def test_one_of_concurrent_publishes_is_accepted(
    operator: Operator,
) -> None:
    async with assert_no_rollback(operator):
        base = operator.version
        outcomes = await asyncio.gather(
            *(operator.publish(base) for _ in range(CONCURRENT_PUBLISHES))
        )
        accepted = [o for o in outcomes if isinstance(o, PublishAccepted)]
        refused = [o for o in outcomes if isinstance(o, PublishRefused)]
        assert (len(accepted), len(refused)) == (1, CONCURRENT_PUBLISHES - 1)
        assert {o.current for o in refused} <= {base, accepted[0].version}
        await until(operator.is_in_force, MAX_PROPAGATION_S)


async def test_a_publish_survives_a_lost_append_answer(
    operator: Operator,
) -> None:
    async with assert_no_rollback(operator):
        await operator.cluster.set_fault(
            'log', 'lost', path=CONFIGURATION_APPEND, count=1
        )
        assert isinstance(await operator.publish(), PublishAccepted)
        await until(operator.is_in_force, MAX_PROPAGATION_S)


async def test_a_resumed_router_gets_the_newest_version(
    operator: Operator,
) -> None:
    async with assert_no_rollback(operator):
        operator.cluster.send_signal('router-2', signal.SIGSTOP)
        for _ in range(3):
            assert isinstance(await operator.publish(), PublishAccepted)
        operator.cluster.send_signal('router-2', signal.SIGCONT)
        await until(operator.is_in_force, MAX_PROPAGATION_S)


async def test_a_router_cut_off_from_the_log_gets_updates(
    operator: Operator,
) -> None:
    cluster = operator.cluster
    cluster.relays['router-4'].cut()
    await restart(cluster, 4)
    await until(operator.is_in_force, RECOVERY_TIMEOUT_S)
    async with assert_no_rollback(operator):
        for _ in range(3):
            assert isinstance(await operator.publish(), PublishAccepted)
            duration_s = await seconds_until(
                operator.is_in_force, RECOVERY_TIMEOUT_S
            )
            assert duration_s < MAX_PROPAGATION_WHEN_CUT_S
    cluster.relays['router-4'].restore()


async def test_restarts_while_the_log_is_unavailable(
    operator: Operator,
) -> None:
    cluster = operator.cluster
    await cluster.set_fault('log', 'refuse')
    async with assert_no_rollback(operator):
        await rolling_restart(operator, (1, 2), (3, 4))
        await cluster.clear_faults('log')
        assert await operator.is_in_force()
        assert (await cluster.chat(1, 'after the outage')).is_complete


async def test_restarts_when_the_records_are_past_retention(
    operator: Operator,
) -> None:
    cluster = operator.cluster
    await cluster.set_fault('log', 'gap', stream='configuration', before=10**6)
    async with assert_no_rollback(operator):
        await rolling_restart(operator, (1, 2))
        await cluster.set_fault('log', 'refuse')
        await rolling_restart(operator, (3, 4))
        await cluster.clear_faults('log')
        assert (await cluster.chat(3, 'past retention')).is_complete


async def rolling_restart(operator: Operator, *pairs: tuple[int, int]) -> None:
    """Restart routers, two at a time."""
    for pair in pairs:
        cluster = operator.cluster
        await asyncio.gather(*(restart(cluster, n) for n in pair))
        await until(operator.is_in_force, RECOVERY_TIMEOUT_S)


async def test_without_log_and_peers_nothing_is_served(
    operator: Operator,
) -> None:
    cluster = operator.cluster
    assert isinstance(await publish_after_refresh(operator), PublishAccepted)
    await until(operator.is_in_force, MAX_PROPAGATION_S)
    await cluster.set_fault('log', 'refuse')
    for number in range(1, PLAN.routers + 1):
        cluster.send_signal(f'router-{number}', signal.SIGKILL)
    numbers = range(1, PLAN.routers + 1)
    await asyncio.gather(*(restart(cluster, number) for number in numbers))
    async with assert_no_rollback(operator):
        replies = await asyncio.gather(
            *(cluster.chat(n, 'too early') for n in range(1, 5))
        )
        assert {(r.type, r.reason) for r in replies} == {
            (REFUSED, 'no_configuration')
        }
        await cluster.clear_faults('log')
        await until(operator.is_in_force, RECOVERY_TIMEOUT_S)
    await cluster.wait_ready()


async def publish_after_refresh(operator: Operator) -> Any:
    """Publish once the routers have refreshed the records past retention."""

    async def try_to_publish() -> Any:
        outcome = await operator.publish()
        if isinstance(outcome, PublishRefused):
            operator.version = max(operator.version, outcome.current)
            return None
        return outcome

    return await until(try_to_publish, RECOVERY_TIMEOUT_S)


async def restart(cluster: Cluster, number: int) -> None:
    """Kill a router, restart it and wait until it answers callers."""
    cluster.send_signal(f'router-{number}', signal.SIGKILL)
    cluster.start_router(number)
    address = cluster.addresses[f'router-{number}']

    async def answers() -> bool:
        with contextlib.suppress(ClientError):
            url = f'http://{address}/v1/entries'
            async with cluster.session.get(url):
                return True
        return False

    await until(answers, RECOVERY_TIMEOUT_S)
