"""Promise 7: an accepted configuration is in force, and none goes back.

Each configuration has an entries lifetime of its own, which callers are
told, so that a router's answer shows which configuration it goes by.
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
FIRST_MARK = 100
PLAN = ClusterPlan(
    {'drafting': 1}, entries_lifetime=FIRST_MARK, has_log_relays=True
)
IN_FORCE_S = 2
IN_FORCE_WHEN_CUT_S = 5
RECOVERY_S = 10
PUBLISHES = 25
RACERS = 6
APPEND = 'POST /v1/streams/configuration'


class Operator:
    """Publishes one configuration after another."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.version = 0
        self.mark = FIRST_MARK
        self._marks = itertools.count(FIRST_MARK + 1)

    async def publish(self, base: int | None = None) -> Any:
        """Publish, on the newest version unless another is given."""
        mark = next(self._marks)
        plan = dataclasses.replace(PLAN, entries_lifetime=mark)
        fleet = example_fleet(plan)
        based = self.version if base is None else base
        outcome = await self.cluster.publish(fleet, based)
        if isinstance(outcome, PublishAccepted):
            self.version = outcome.version
            self.mark = mark
        return outcome

    async def marks(self) -> list[int]:
        """Return the mark that each router goes by; 0 if it is away."""
        return list(
            await asyncio.gather(
                *map(self._mark, self.cluster.router_addresses)
            )
        )

    async def in_force(self) -> bool:
        """Tell whether every router goes by the newest configuration."""
        return set(await self.marks()) == {self.mark}

    async def _mark(self, address: str) -> int:
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
    ) as made:
        yield Operator(made)


@asynccontextmanager
async def never_back(operator: Operator) -> AsyncIterator[None]:
    """Watch every router: its mark only grows, also over restarts."""
    highest = [0] * PLAN.routers
    steps_back: list[tuple[int, int, int]] = []

    async def watch() -> None:
        while True:
            for number, mark in enumerate(await operator.marks()):
                if FIRST_MARK <= mark < highest[number]:
                    steps_back.append((number, highest[number], mark))
                highest[number] = max(highest[number], mark)
            await asyncio.sleep(0.01)

    watcher = asyncio.create_task(watch())
    try:
        yield
    finally:
        watcher.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await watcher
    assert steps_back == []


async def seconds_until(condition: Callable[[], Any], most: float) -> float:
    started = time.monotonic()
    await until(condition, most)
    return time.monotonic() - started


async def test_accepted_is_in_force_on_all_routers(operator: Operator) -> None:
    taken = []
    async with never_back(operator):
        for _ in range(PUBLISHES):
            assert isinstance(await operator.publish(), PublishAccepted)
            taken.append(await seconds_until(operator.in_force, IN_FORCE_S * 2))
    assert max(taken) < IN_FORCE_S


async def test_one_racer_wins(operator: Operator) -> None:
    async with never_back(operator):
        base = operator.version
        outcomes = await asyncio.gather(
            *(operator.publish(base) for _ in range(RACERS))
        )
        won = [o for o in outcomes if isinstance(o, PublishAccepted)]
        lost = [o for o in outcomes if isinstance(o, PublishRefused)]
        assert (len(won), len(lost)) == (1, RACERS - 1)
        assert {o.current for o in lost} <= {base, won[0].version}
        await until(operator.in_force, IN_FORCE_S)


async def test_a_lost_append_answer_does_no_harm(operator: Operator) -> None:
    async with never_back(operator):
        await operator.cluster.set_fault('log', 'lost', path=APPEND, count=1)
        assert isinstance(await operator.publish(), PublishAccepted)
        await until(operator.in_force, IN_FORCE_S)


async def test_a_paused_router_wakes_to_the_newest(operator: Operator) -> None:
    async with never_back(operator):
        operator.cluster.send_signal('router-2', signal.SIGSTOP)
        for _ in range(3):
            assert isinstance(await operator.publish(), PublishAccepted)
        operator.cluster.send_signal('router-2', signal.SIGCONT)
        await until(operator.in_force, IN_FORCE_S)


async def test_a_router_cut_from_the_log_hears_of_it(
    operator: Operator,
) -> None:
    cluster = operator.cluster
    cluster.relays['router-4'].cut()
    await restart(cluster, 4)
    await until(operator.in_force, RECOVERY_S)
    async with never_back(operator):
        for _ in range(3):
            assert isinstance(await operator.publish(), PublishAccepted)
            took = await seconds_until(operator.in_force, RECOVERY_S)
            assert took < IN_FORCE_WHEN_CUT_S
    cluster.relays['router-4'].restore()


async def test_restarts_while_the_log_is_away(operator: Operator) -> None:
    cluster = operator.cluster
    await cluster.set_fault('log', 'refuse')
    async with never_back(operator):
        await roll(operator, (1, 2), (3, 4))
        await cluster.clear_faults('log')
        assert await operator.in_force()
        assert (await cluster.chat(1, 'after the outage')).is_complete


async def test_restarts_when_the_records_are_past_retention(
    operator: Operator,
) -> None:
    cluster = operator.cluster
    await cluster.set_fault('log', 'gap', stream='configuration', before=10**6)
    async with never_back(operator):
        await roll(operator, (1, 2))
        await cluster.set_fault('log', 'refuse')
        await roll(operator, (3, 4))
        await cluster.clear_faults('log')
        assert (await cluster.chat(3, 'past retention')).is_complete


async def roll(operator: Operator, *pairs: tuple[int, int]) -> None:
    """Restart routers, two at a time."""
    for pair in pairs:
        cluster = operator.cluster
        await asyncio.gather(*(restart(cluster, n) for n in pair))
        await until(operator.in_force, RECOVERY_S)


async def test_without_log_and_peers_nothing_is_served(
    operator: Operator,
) -> None:
    cluster = operator.cluster
    assert isinstance(await publish_when_known(operator), PublishAccepted)
    await until(operator.in_force, IN_FORCE_S)
    await cluster.set_fault('log', 'refuse')
    for number in range(1, PLAN.routers + 1):
        cluster.send_signal(f'router-{number}', signal.SIGKILL)
    numbers = range(1, PLAN.routers + 1)
    await asyncio.gather(*(restart(cluster, number) for number in numbers))
    async with never_back(operator):
        replies = await asyncio.gather(
            *(cluster.chat(n, 'too early') for n in range(1, 5))
        )
        assert {(r.type, r.reason) for r in replies} == {
            (REFUSED, 'no_configuration')
        }
        await cluster.clear_faults('log')
        await until(operator.in_force, RECOVERY_S)
    await cluster.wait_ready()


async def publish_when_known(operator: Operator) -> Any:
    """Publish once the routers have refreshed what retention took."""

    async def published() -> Any:
        outcome = await operator.publish()
        if isinstance(outcome, PublishRefused):
            operator.version = max(operator.version, outcome.current)
            return None
        return outcome

    return await until(published, RECOVERY_S)


async def restart(cluster: Cluster, number: int) -> None:
    """Kill a router and start it anew; returns when it answers callers."""
    cluster.send_signal(f'router-{number}', signal.SIGKILL)
    cluster.start_router(number)
    address = cluster.addresses[f'router-{number}']

    async def answers() -> bool:
        with contextlib.suppress(ClientError):
            url = f'http://{address}/v1/entries'
            async with cluster.session.get(url):
                return True
        return False

    await until(answers, RECOVERY_S)
