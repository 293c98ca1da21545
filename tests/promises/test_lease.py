"""A lease holder that is frozen past its lease and woken does no harm."""

import asyncio
import signal
from collections.abc import AsyncIterator
from functools import partial
from typing import Any

import pytest
import pytest_asyncio
from msgspec import structs

from bergamotshed.fleet import Fleet, LiveModel
from bergamotshed.operators.publish import PublishAccepted

from ..harness import Cluster, ClusterPlan, example_fleet, running_cluster
from ..waiting import until

pytestmark = [
    pytest.mark.processes,
    pytest.mark.asyncio(loop_scope='module'),
]
PLAN = ClusterPlan({'drafting': 1, 'booking': 1}, has_log_relays=True)
OBEYS, IGNORES = 'drafting-1', 'booking-1'
LOADED_S = 20
WATCH_S = 3


@pytest_asyncio.fixture(loop_scope='module', scope='module')
async def cluster(
    tmp_path_factory: pytest.TempPathFactory,
) -> AsyncIterator[Cluster]:
    async with running_cluster(
        PLAN, tmp_path_factory.mktemp('lease')
    ) as started:
        await started.set_fault(IGNORES, 'ignore')
        yield started


async def test_a_frozen_holder_wakes_past_its_lease(cluster: Cluster) -> None:
    published = await cluster.publish(fleet('v2'), 0)
    assert isinstance(published, PublishAccepted)
    await until(lambda: all_loaded(cluster, 'v2'), LOADED_S)
    holder = await until(partial(holder_of, cluster), LOADED_S)

    # The holder has just heard of v3, and has engines yet to bring to it, when
    # it is frozen. When it is woken it hears nothing from the log.
    for name in (OBEYS, IGNORES):
        await cluster.set_fault(name, 'freeze', path='/v1/load')
    before = (await cluster.fetch_state(1))['lease']['fence']
    published = await cluster.publish(fleet('v3'), published.version)
    await until(lambda: knows(cluster, holder, published.version), LOADED_S)
    cluster.send_signal(holder, signal.SIGSTOP)
    cluster.relays[holder].cut()
    for name in (OBEYS, IGNORES):
        await cluster.clear_faults(name)
    published = await cluster.publish(fleet('v4'), published.version)
    await until(lambda: all_loaded(cluster, 'v4'), LOADED_S)
    newest = {
        name: await newest_fence(cluster, name) for name in (OBEYS, IGNORES)
    }

    cluster.send_signal(holder, signal.SIGCONT)
    await asyncio.sleep(WATCH_S)
    assert await all_loaded(cluster, 'v4')
    for name in (OBEYS, IGNORES):
        assert await stale_orders(cluster, name, newest[name]) == []
    cluster.relays[holder].restore()
    successor = await until(partial(holder_of, cluster), LOADED_S)
    assert successor != holder
    assert min(newest.values()) > before

    # The woken one has learned of its successor and gives no more orders.
    await until(lambda: gave_up(cluster, holder, before), LOADED_S)
    await cluster.publish(fleet('v5'), published.version)
    await until(lambda: all_loaded(cluster, 'v5'), LOADED_S)
    for name in (OBEYS, IGNORES):
        orders = (await cluster.fetch_record(name))['orders']
        fences = [order['fence'] for order in orders]
        assert fences == sorted(fences)


def fleet(version: str) -> Fleet:
    """Return a configuration in which one engine is said to obey fencing."""
    made = example_fleet(PLAN)
    services = tuple(
        structs.replace(
            service,
            models=(LiveModel(service.models[0].name, version),),
            fencing=service.name == 'drafting',
        )
        for service in made.services
    )
    return structs.replace(made, services=services)


async def all_loaded(cluster: Cluster, version: str) -> bool:
    """Tell whether both engines have just that version."""
    records = [await cluster.fetch_record(name) for name in (OBEYS, IGNORES)]
    loaded = [{m['version'] for m in r['loaded']} for r in records]
    return loaded == [{version}, {version}]


async def knows(cluster: Cluster, router: str, version: int) -> bool:
    """Tell whether a router has a configuration in force."""
    state = await cluster.fetch_state(int(router.rpartition('-')[2]))
    return bool(state['configuration']['version'] >= version)


async def holder_of(cluster: Cluster) -> str:
    """Return the holder if all routers know the same, or empty."""
    states = await asyncio.gather(
        *(cluster.fetch_state(number) for number in range(1, PLAN.routers + 1))
    )
    holders = {state['lease']['holder'] for state in states}
    if len(holders) != 1:
        return ''
    return str(holders.pop()).partition('#')[0]


async def gave_up(cluster: Cluster, router: str, fence: int) -> bool:
    """Tell whether a former holder knows of a newer fencing number."""
    state = await cluster.fetch_state(int(router.rpartition('-')[2]))
    lease = state['lease']
    return bool(lease['fence'] > fence and not lease['remaining'])


async def newest_fence(cluster: Cluster, name: str) -> int:
    orders = (await cluster.fetch_record(name))['orders']
    return max(int(order['fence']) for order in orders)


async def stale_orders(
    cluster: Cluster, name: str, newest: int
) -> list[dict[str, Any]]:
    """Return the orders that came, and were obeyed, after a newer holder's."""
    orders = (await cluster.fetch_record(name))['orders']
    first = next(i for i, o in enumerate(orders) if o['fence'] == newest)
    return [o for o in orders[first:] if o['fence'] < newest and o['obeyed']]
