"""
bergamotshed.control.reconcile
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reconciles engines with the configuration; run by the control lease's holder.
"""

__all__ = ('Reconciler', 'ReconcilerOptions', 'ReconcilerState')

import asyncio
from dataclasses import dataclass
from datetime import timedelta

from eliot import log_message

from ..clock import Clock
from ..engines.types import (
    EngineClient,
    EngineError,
    Order,
    OrderKind,
    OrderRefused,
)
from ..fleet import LiveModel, Service, ServiceKind
from ..routing.types import Upstream, UpstreamState
from ..routing.view import FleetView
from ..weights.types import (
    WeightsRequest,
    WeightStore,
    WeightStoreBusy,
    WeightStoreUnavailable,
)
from .check_schedule import CheckSchedule
from .leases import Lease
from .plan import EngineOrder, assign_models, plan_orders
from .types import ConfigurationInForce

#: Remaining lease that an order needs: calls of the engines' client time out
#: within this time.
MIN_REMAINING_LEASE = timedelta(seconds=1)
MAX_CONCURRENT_CHECKS = 8
OUTAGE_RETRY_INTERVAL = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class ReconcilerOptions:
    """Timing of the reconciler.

    :ivar interval: pause between two rounds
    :ivar unfenced_wait: how long a lease must have been held before engines
        that ignore fencing tokens get orders; orders of the former holder
        have arrived by then
    """

    interval: timedelta = timedelta(seconds=2)
    unfenced_wait: timedelta = timedelta(seconds=5)


@dataclass(frozen=True, slots=True)
class ReconcilerState:
    """Counters since the start, for the state dump.

    :ivar orders: number of orders sent
    :ivar checks: number of engines checked
    :ivar refused_by: newest fencing token reported by an engine that
        refused an order of this process; -1 for none
    """

    orders: int
    checks: int
    refused_by: int


@dataclass(frozen=True, slots=True)
class _EngineTarget:
    engine: Upstream
    models: tuple[LiveModel, ...]
    is_fenced: bool


class Reconciler:
    """Compares engines with the configuration and orders what differs.

    Each order states a target and is sent only while enough of the lease
    remains for it to arrive.

    :param weights: limits the rate of loading; ``None`` for no limit
    """

    def __init__(
        self,
        lease: Lease,
        configuration: ConfigurationInForce,
        view: FleetView,
        engines: EngineClient,
        weights: WeightStore | None,
        clock: Clock,
        options: ReconcilerOptions | None = None,
    ) -> None:
        self._lease = lease
        self._configuration = configuration
        self._view = view
        self._engines = engines
        self._weights = weights
        self._clock = clock
        self._options = options or ReconcilerOptions()
        self._schedule = CheckSchedule(clock)
        self._checked_basis = (-1, -1)
        self._loads_allowed_at = clock.monotonic()
        self._refused_by = -1
        self._orders = 0
        self._checks = 0

    @property
    def state(self) -> ReconcilerState:
        """Return the counters since the start."""
        return ReconcilerState(self._orders, self._checks, self._refused_by)

    async def run(self) -> None:
        """Check the engines in rounds until cancelled."""
        while True:
            await self.step()
            await self._clock.sleep(self._options.interval)

    async def step(self) -> None:
        """Check the engines that are due, if this process holds the lease."""
        if not self._can_order(is_fenced=True):
            return
        basis = (self._configuration.version, self._lease.fence)
        if basis != self._checked_basis:
            self._checked_basis = basis
            self._schedule.reset()
        targets_by_name = {
            target.engine.name: target for target in self._engine_targets()
        }
        limit = asyncio.Semaphore(MAX_CONCURRENT_CHECKS)
        async with asyncio.TaskGroup() as tasks:
            for name in self._schedule.due_engines(
                {
                    name: target.engine
                    for name, target in targets_by_name.items()
                }
            ):
                tasks.create_task(self._check(targets_by_name[name], limit))

    def _engine_targets(self) -> list[_EngineTarget]:
        engine_targets: list[_EngineTarget] = []
        for service in self._configuration.fleet.services:
            if service.kind is ServiceKind.ENGINE:
                engine_targets.extend(self._service_targets(service))
        return engine_targets

    def _service_targets(self, service: Service) -> list[_EngineTarget]:
        engines = [
            engine
            for engine in self._view.upstreams(service.name)
            if engine.state is not UpstreamState.LEAVING
        ]
        models_by_engine = assign_models(
            service, [engine.name for engine in engines]
        )
        return [
            _EngineTarget(
                engine, models_by_engine[engine.name], service.fencing
            )
            for engine in engines
        ]

    async def _check(
        self, target: _EngineTarget, limit: asyncio.Semaphore
    ) -> None:
        async with limit:
            if not self._can_order(target.is_fenced):
                return
            self._checks += 1
            try:
                await self._reconcile_engine(target)
            except OrderRefused as error:
                self._refused_by = max(self._refused_by, error.fence)
                log_message(
                    'engine.order_refused',
                    engine=target.engine.name,
                    fence=self._lease.fence,
                    newer=error.fence,
                )
            except EngineError as error:
                log_message(
                    'engine.not_reached',
                    engine=target.engine.name,
                    why=str(error),
                )

    async def _reconcile_engine(self, target: _EngineTarget) -> None:
        report = await self._engines.load(target.engine.address)
        orders = plan_orders(report, target.models)
        if not orders:
            self._schedule.schedule_audit(target.engine.name)
        for order in orders:
            key = (report.boot, order)
            if self._schedule.is_awaiting(target.engine.name, key):
                continue
            if not await self._has_weights(target.engine.name, order):
                return
            if not self._can_order(target.is_fenced):
                return
            await self._send_order(target.engine, order)
            self._schedule.record_order(target.engine.name, key)

    async def _send_order(self, engine: Upstream, order: EngineOrder) -> None:
        fence = self._lease.fence
        log_message(
            'engine.ordered',
            engine=engine.name,
            order=order.kind.value,
            model=order.model,
            version=order.version,
            adapters=order.adapters,
            cause=order.cause.value,
            configuration=self._configuration.version,
            fence=fence,
        )
        self._orders += 1
        await self._engines.order(
            engine.address,
            Order(
                kind=order.kind,
                fence=fence,
                model=order.model,
                version=order.version,
                adapters=order.adapters,
            ),
        )

    async def _has_weights(self, engine: str, order: EngineOrder) -> bool:
        if order.kind is not OrderKind.LOAD or self._weights is None:
            return True
        if self._clock.monotonic() < self._loads_allowed_at:
            return False
        request = WeightsRequest(order.model, order.version, engine)
        try:
            await self._weights.fetch(request)
        except WeightStoreBusy as error:
            self._delay_loads(error.retry_after)
            return False
        except WeightStoreUnavailable:
            self._delay_loads(OUTAGE_RETRY_INTERVAL)
            return False
        return True

    def _delay_loads(self, pause: timedelta) -> None:
        allowed_at = self._clock.monotonic() + pause.total_seconds()
        self._loads_allowed_at = max(self._loads_allowed_at, allowed_at)

    def _can_order(self, is_fenced: bool) -> bool:
        if self._lease.remaining() < MIN_REMAINING_LEASE:
            return False
        if self._lease.fence < self._refused_by:
            return False
        return (
            is_fenced or self._lease.held_for() >= self._options.unfenced_wait
        )
