from datetime import timedelta

import pytest

from bergamotshed.clock import ManualClock
from bergamotshed.control.leases import Lease
from bergamotshed.control.reconcile import Reconciler
from bergamotshed.control.types import ConfigurationInForce
from bergamotshed.engines.types import LoadedModel
from bergamotshed.fleet import Fleet, LiveModel, Service
from bergamotshed.routing.types import Upstream, UpstreamState
from bergamotshed.weights.types import (
    WeightsRequest,
    WeightStore,
    WeightStoreBusy,
)

from .fakes import FakeEngine, FakeEngines, FakeLease, FakeView, deliver_at_once

ROUND_INTERVAL = timedelta(seconds=2)
V1 = LoadedModel('m', 'v1')
OTHER = LoadedModel('other', 'v9')


def make_configuration(
    version: str = 'v1',
    *,
    fencing: bool = True,
    engines: int = 0,
    adapters: tuple[str, ...] = (),
) -> ConfigurationInForce:
    live = LiveModel('m', version, adapters=adapters, engines=engines)
    configuration = ConfigurationInForce()
    service = Service('drafting', models=(live,), fencing=fencing)
    configuration.advance(3, Fleet((service,)))
    return configuration


def make_view(
    *names: str, state: UpstreamState = UpstreamState.LIVE
) -> FakeView:
    return FakeView(
        *(Upstream(name, 'drafting', name, 'a', state) for name in names)
    )


class ReconcilerBench:
    def __init__(
        self,
        engines: FakeEngines,
        configuration: ConfigurationInForce,
        *,
        lease: Lease | None = None,
        weights: WeightStore | None = None,
        view: FakeView | None = None,
    ) -> None:
        self.clock = ManualClock()
        self.reconciler = Reconciler(
            lease or FakeLease(),
            configuration,
            view or make_view(*engines.engines),
            engines,
            weights,
            self.clock,
        )

    async def rounds(self, count: int) -> None:
        for _ in range(count):
            await self.reconciler.step()
            await self.clock.sleep(ROUND_INTERVAL)


@pytest.mark.parametrize(
    ('loaded', 'version', 'adapters', 'expected'),
    [
        ((), 'v1', (), {'m@v1'}),
        ((V1,), 'v1', (), {'m@v1'}),
        ((V1, OTHER), 'v1', (), {'m@v1'}),
        ((V1,), 'v2', (), {'m@v2'}),
        ((V1,), 'v1', ('a',), {'m@v1'}),
    ],
)
async def test_engine_is_reconciled_with_the_configuration(
    loaded: tuple[LoadedModel, ...],
    version: str,
    adapters: tuple[str, ...],
    expected: set[str],
) -> None:
    engine = FakeEngine(True, *loaded)
    bench = ReconcilerBench(
        FakeEngines(e1=engine), make_configuration(version, adapters=adapters)
    )
    await bench.rounds(4)
    assert engine.model_names() == expected
    assert engine.loaded['m', version].adapters == adapters
    order_count = len(engine.orders)
    await bench.rounds(40)
    assert len(engine.orders) == order_count


async def test_nothing_is_unloaded_before_its_successor_is_loaded() -> None:
    engine = FakeEngine(True, V1)
    engine.ignores_loads = True
    bench = ReconcilerBench(FakeEngines(e1=engine), make_configuration('v2'))
    await bench.rounds(5)
    assert engine.model_names() == {'m@v1'}
    assert len(engine.orders) == 1


async def test_model_for_some_engines_is_loaded_by_as_many() -> None:
    engines = {f'e{number}': FakeEngine(True) for number in range(5)}
    bench = ReconcilerBench(
        FakeEngines(**engines), make_configuration(engines=2)
    )
    await bench.rounds(3)
    assert sum(bool(engine.loaded) for engine in engines.values()) == 2


async def test_leaving_and_unlisted_engines_are_left_alone() -> None:
    engine = FakeEngine(True, OTHER)
    view = make_view('e1', state=UpstreamState.LEAVING)
    bench = ReconcilerBench(
        FakeEngines(e1=engine), make_configuration(), view=view
    )
    await bench.rounds(3)
    assert engine.orders == []


@pytest.mark.parametrize(
    ('remaining', 'held', 'fencing', 'is_ordered'),
    [
        (0, 100, True, False),
        (0.9, 100, True, False),
        (10, 0, True, True),
        (10, 0, False, False),
        (10, 100, False, True),
    ],
)
async def test_orders_need_enough_of_the_lease(
    remaining: float, held: int, fencing: bool, is_ordered: bool
) -> None:
    lease = FakeLease()
    lease.remaining_time = timedelta(seconds=remaining)
    lease.held_time = timedelta(seconds=held)
    engine = FakeEngine(fencing)
    bench = ReconcilerBench(
        FakeEngines(e1=engine), make_configuration(fencing=fencing), lease=lease
    )
    await bench.rounds(2)
    assert bool(engine.orders) is is_ordered


class BusyStore(WeightStore):
    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.granted_at: list[float] = []

    async def fetch(self, request: WeightsRequest) -> str:
        now = self.clock.monotonic()
        if self.granted_at and now < self.granted_at[-1] + 10:
            raise WeightStoreBusy(timedelta(seconds=10))
        self.granted_at.append(now)
        return 'ticket'


async def test_loads_respect_the_rate_of_the_weight_store() -> None:
    engines = {f'e{number}': FakeEngine(True) for number in range(3)}
    bench = ReconcilerBench(FakeEngines(**engines), make_configuration())
    store = BusyStore(bench.clock)
    bench.reconciler._weights = store
    await bench.rounds(2)
    assert sum(bool(engine.loaded) for engine in engines.values()) == 1
    await bench.rounds(20)
    assert all(engine.loaded for engine in engines.values())
    assert len(store.granted_at) == 3


async def test_unreachable_engine_does_not_block_others() -> None:
    down, up = FakeEngine(True), FakeEngine(True)
    down.down = True
    bench = ReconcilerBench(FakeEngines(e1=down, e2=up), make_configuration())
    await bench.rounds(2)
    assert up.model_names() == {'m@v1'}
    down.down = False
    await bench.rounds(2)
    assert down.model_names() == {'m@v1'}


async def test_engine_that_returned_empty_is_checked_at_once() -> None:
    engine = FakeEngine(True)
    view = make_view('e1')
    bench = ReconcilerBench(
        FakeEngines(e1=engine), make_configuration(), view=view
    )
    await bench.rounds(2)
    engine.loaded.clear()
    view.engines = make_view('e1', state=UpstreamState.SUSPECT).engines
    await bench.rounds(1)
    assert engine.model_names() == {'m@v1'}


@pytest.mark.parametrize(
    ('fencing', 'after_resume'), [(True, {'m@v2'}), (False, {'m@v1', 'm@v2'})]
)
async def test_late_order_of_a_paused_holder_is_refused_or_reverted(
    fencing: bool, after_resume: set[str]
) -> None:
    engine = FakeEngine(fencing)
    engines = FakeEngines(e1=engine)
    lease = FakeLease(1)
    old_holder = ReconcilerBench(
        engines, make_configuration('v1', fencing=fencing), lease=lease
    )
    new_holder = ReconcilerBench(
        engines, make_configuration('v2', fencing=fencing), lease=FakeLease(2)
    )

    async def pause_old_holder() -> None:
        # The old holder is paused between its check of the lease and the
        # arrival of its order.
        engines.before_order = deliver_at_once
        lease.remaining_time = timedelta(0)
        await new_holder.rounds(2)
        assert engine.model_names() == {'m@v2'}

    engines.before_order = pause_old_holder
    await old_holder.rounds(5)
    assert engine.model_names() == after_resume
    await new_holder.rounds(20)
    assert engine.model_names() == {'m@v2'}
