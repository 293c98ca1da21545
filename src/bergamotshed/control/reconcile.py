"""
bergamotshed.control.reconcile
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Brings engines to the configuration, a duty of the control lease's holder.
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

#: An order is given up after less than this, see the engines' client.
LEAST_LEASE = timedelta(seconds=1)
CHECKS_AT_ONCE = 8
OUTAGE_PAUSE = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class ReconcilerOptions:
    """How the reconciler goes about it.

    :ivar every: pause between two rounds
    :ivar unfenced_wait: how long a lease must have been held before engines
        that ignore fencing numbers are ordered; orders of the former holder
        have arrived by then
    """

    every: timedelta = timedelta(seconds=2)
    unfenced_wait: timedelta = timedelta(seconds=5)


@dataclass(frozen=True, slots=True)
class ReconcilerState:
    """What was done since the start, for the state dump.

    :ivar refused_by: newest fencing number that an engine refused us with
    """

    orders: int
    checks: int
    refused_by: int


@dataclass(frozen=True, slots=True)
class _Duty:
    engine: Upstream
    targets: tuple[LiveModel, ...]
    fenced: bool


class Reconciler:
    """Reads engines back and orders what differs from the configuration.

    Each order states a target and is given only while enough of the lease
    is left for it to arrive.

    :param weights: None where no weight store paces the loading
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
        self._basis = (-1, -1)
        self._loads_from = clock.monotonic()
        self._refused_by = -1
        self._orders = 0
        self._checks = 0

    @property
    def state(self) -> ReconcilerState:
        """Return what was done since the start."""
        return ReconcilerState(self._orders, self._checks, self._refused_by)

    async def run(self) -> None:
        """Go round after round, without end."""
        while True:
            await self.step()
            await self._clock.sleep(self._options.every)

    async def step(self) -> None:
        """Look at the engines that are due, if that is our duty."""
        if not self._may_order(fenced=True):
            return
        basis = (self._configuration.version, self._lease.fence)
        if basis != self._basis:
            self._basis = basis
            self._schedule.reset()
        duties = {duty.engine.name: duty for duty in self._duties()}
        limit = asyncio.Semaphore(CHECKS_AT_ONCE)
        async with asyncio.TaskGroup() as tasks:
            for name in self._schedule.due_engines(
                {name: duty.engine for name, duty in duties.items()}
            ):
                tasks.create_task(self._check(duties[name], limit))

    def _duties(self) -> list[_Duty]:
        duties: list[_Duty] = []
        for service in self._configuration.fleet.services:
            if service.kind is ServiceKind.ENGINE:
                duties.extend(self._duties_of(service))
        return duties

    def _duties_of(self, service: Service) -> list[_Duty]:
        engines = [
            engine
            for engine in self._view.upstreams(service.name)
            if engine.state is not UpstreamState.LEAVING
        ]
        targets = assign_models(service, [engine.name for engine in engines])
        return [
            _Duty(engine, targets[engine.name], service.fencing)
            for engine in engines
        ]

    async def _check(self, duty: _Duty, limit: asyncio.Semaphore) -> None:
        async with limit:
            if not self._may_order(duty.fenced):
                return
            self._checks += 1
            try:
                await self._bring(duty)
            except OrderRefused as error:
                self._refused_by = max(self._refused_by, error.fence)
                log_message(
                    'engine.order_refused',
                    engine=duty.engine.name,
                    fence=self._lease.fence,
                    newer=error.fence,
                )
            except EngineError as error:
                log_message(
                    'engine.not_reached',
                    engine=duty.engine.name,
                    why=str(error),
                )

    async def _bring(self, duty: _Duty) -> None:
        report = await self._engines.load(duty.engine.address)
        orders = plan_orders(report, duty.targets)
        if not orders:
            self._schedule.schedule_audit(duty.engine.name)
        for order in orders:
            key = (report.boot, order)
            if self._schedule.is_awaiting(duty.engine.name, key):
                continue
            if not await self._has_weights(duty.engine.name, order):
                return
            if not self._may_order(duty.fenced):
                return
            await self._give(duty.engine, order)
            self._schedule.record_order(duty.engine.name, key)

    async def _give(self, engine: Upstream, order: EngineOrder) -> None:
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
        if self._clock.monotonic() < self._loads_from:
            return False
        request = WeightsRequest(order.model, order.version, engine)
        try:
            await self._weights.fetch(request)
        except WeightStoreBusy as error:
            self._hold_loads(error.retry_after)
            return False
        except WeightStoreUnavailable:
            self._hold_loads(OUTAGE_PAUSE)
            return False
        return True

    def _hold_loads(self, pause: timedelta) -> None:
        until = self._clock.monotonic() + pause.total_seconds()
        self._loads_from = max(self._loads_from, until)

    def _may_order(self, fenced: bool) -> bool:
        if self._lease.remaining() < LEAST_LEASE:
            return False
        if self._lease.fence < self._refused_by:
            return False
        return fenced or self._lease.held_for() >= self._options.unfenced_wait
