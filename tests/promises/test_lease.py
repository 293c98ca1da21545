"""A lease holder that resumes after its lease has expired does no harm."""

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
FENCING_ENGINE, UNFENCED_ENGINE = 'drafting-1', 'booking-1'
LOADED_TIMEOUT_S = 20
OBSERVATION_S = 3


@pytest_asyncio.fixture(loop_scope='module', scope='module')
async def cluster(
    tmp_path_factory: pytest.TempPathFactory,
) -> AsyncIterator[Cluster]:
    async with running_cluster(
        PLAN, tmp_path_factory.mktemp('lease')
    ) as started:
        await started.set_fault(UNFENCED_ENGINE, 'ignore')
        yield started


async def test_a_paused_holder_resumes_after_its_lease(
    cluster: Cluster,
) -> None:
    published = await cluster.publish(fleet('v2'), 0)
    assert isinstance(published, PublishAccepted)
    await until(lambda: all_loaded(cluster, 'v2'), LOADED_TIMEOUT_S)
    holder = await until(partial(holder_of, cluster), LOADED_TIMEOUT_S)

    # The holder is paused when it has received v3 and engines have yet to load
    # it. Its link to the log is cut, so that it learns nothing from the log
    # when it resumes.
    for name in (FENCING_ENGINE, UNFENCED_ENGINE):
        await cluster.set_fault(name, 'freeze', path='/v1/load')
    old_fence = (await cluster.fetch_state(1))['lease']['fence']
    published = await cluster.publish(fleet('v3'), published.version)
    await until(
        lambda: has_configuration(cluster, holder, published.version),
        LOADED_TIMEOUT_S,
    )
    cluster.send_signal(holder, signal.SIGSTOP)
    cluster.relays[holder].cut()
    for name in (FENCING_ENGINE, UNFENCED_ENGINE):
        await cluster.clear_faults(name)
    published = await cluster.publish(fleet('v4'), published.version)
    await until(lambda: all_loaded(cluster, 'v4'), LOADED_TIMEOUT_S)
    newest_fences = {
        name: await newest_fence(cluster, name)
        for name in (FENCING_ENGINE, UNFENCED_ENGINE)
    }

    cluster.send_signal(holder, signal.SIGCONT)
    await asyncio.sleep(OBSERVATION_S)
    assert await all_loaded(cluster, 'v4')
    for name in (FENCING_ENGINE, UNFENCED_ENGINE):
        assert await stale_orders(cluster, name, newest_fences[name]) == []
    cluster.relays[holder].restore()
    successor = await until(partial(holder_of, cluster), LOADED_TIMEOUT_S)
    assert successor != holder
    assert min(newest_fences.values()) > old_fence

    # The former holder learns of its successor and gives no more orders.
    await until(
        lambda: knows_newer_fence(cluster, holder, old_fence), LOADED_TIMEOUT_S
    )
    await cluster.publish(fleet('v5'), published.version)
    await until(lambda: all_loaded(cluster, 'v5'), LOADED_TIMEOUT_S)
    for name in (FENCING_ENGINE, UNFENCED_ENGINE):
        orders = (await cluster.fetch_record(name))['orders']
        fences = [order['fence'] for order in orders]
        assert fences == sorted(fences)


def fleet(version: str) -> Fleet:
    """Return a configuration in which one service has fencing enabled."""
    base_fleet = example_fleet(PLAN)
    services = tuple(
        structs.replace(
            service,
            models=(LiveModel(service.models[0].name, version),),
            fencing=service.name == 'drafting',
        )
        for service in base_fleet.services
    )
    return structs.replace(base_fleet, services=services)


async def all_loaded(cluster: Cluster, version: str) -> bool:
    """Return whether both engines have loaded this version and no other."""
    records = [
        await cluster.fetch_record(name)
        for name in (FENCING_ENGINE, UNFENCED_ENGINE)
    ]
    loaded = [{m['version'] for m in r['loaded']} for r in records]
    return loaded == [{version}, {version}]


async def has_configuration(
    cluster: Cluster, router: str, version: int
) -> bool:
    """Return whether a router uses this version or a newer one."""
    state = await cluster.fetch_state(int(router.rpartition('-')[2]))
    return bool(state['configuration']['version'] >= version)


async def holder_of(cluster: Cluster) -> str:
    """Return the lease holder if all routers agree on it, or an empty text."""
    states = await asyncio.gather(
        *(cluster.fetch_state(number) for number in range(1, PLAN.routers + 1))
    )
    holders = {state['lease']['holder'] for state in states}
    if len(holders) != 1:
        return ''
    return str(holders.pop()).partition('#')[0]


async def knows_newer_fence(cluster: Cluster, router: str, fence: int) -> bool:
    """Return whether a router has a newer fencing token but no valid lease."""
    state = await cluster.fetch_state(int(router.rpartition('-')[2]))
    lease = state['lease']
    return bool(lease['fence'] > fence and not lease['remaining'])


async def newest_fence(cluster: Cluster, name: str) -> int:
    orders = (await cluster.fetch_record(name))['orders']
    return max(int(order['fence']) for order in orders)


async def stale_orders(
    cluster: Cluster, name: str, newest: int
) -> list[dict[str, Any]]:
    """Return obeyed orders of older holders that came after a newer one's."""
    orders = (await cluster.fetch_record(name))['orders']
    first = next(i for i, o in enumerate(orders) if o['fence'] == newest)
    return [o for o in orders[first:] if o['fence'] < newest and o['obeyed']]
