"""Test doubles: a log with faults, a lease, engines and a fleet view."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from datetime import timedelta

from bergamotshed.clock import Clock, ManualClock
from bergamotshed.control.leases import Lease
from bergamotshed.engines.types import (
    Chunk,
    EngineClient,
    EngineRequest,
    EngineUnreachable,
    Finish,
    LoadedModel,
    LoadReport,
    Order,
    OrderKind,
    OrderRefused,
)
from bergamotshed.log.types import (
    Log,
    LogAnswerLost,
    LogPage,
    LogUnavailable,
    Record,
)
from bergamotshed.routing.types import Upstream
from bergamotshed.routing.view import FleetView, RouterNode


class MemoryLog(Log):
    def __init__(self, clock: Clock | None = None) -> None:
        self.clock = clock or ManualClock()
        self.records: dict[str, list[Record]] = {}
        self.first: dict[str, int] = {}
        self.down = False
        self.lose_answers = 0
        self.page_size = 500
        self.answers_early = False
        self.reads = 0

    def next(self, stream: str) -> int:
        records = self.records.get(stream, [])
        return records[-1].offset + 1 if records else 0

    def forget(self, stream: str, first: int) -> None:
        self.first[stream] = max(self.first.get(stream, 0), first)

    def write(self, stream: str, payload: bytes) -> int:
        offset = self.next(stream)
        self.records.setdefault(stream, []).append(
            Record(offset, self.clock.now(), payload)
        )
        return offset

    async def append(self, stream: str, payload: bytes) -> int:
        if self.down:
            raise LogUnavailable('down')
        offset = self.write(stream, payload)
        if self.lose_answers:
            self.lose_answers -= 1
            raise LogAnswerLost('lost')
        return offset

    async def read(
        self,
        stream: str,
        start: int,
        *,
        limit: int = 500,
        wait: timedelta = timedelta(0),
    ) -> LogPage:
        if self.down:
            raise LogUnavailable('down')
        first = self.first.get(stream, 0)
        records = [
            record
            for record in self.records.get(stream, [])
            if record.offset >= max(first, start)
        ]
        self.reads += 1
        if self.answers_early:
            await asyncio.sleep(0)
        if wait and not records and not self.answers_early:
            await self.clock.sleep(wait)
        return LogPage(
            first,
            self.next(stream),
            tuple(records[: min(limit, self.page_size)]),
        )


class FakeLease(Lease):
    def __init__(self, fence: int = 1) -> None:
        self._fence = fence
        self.remaining_time = timedelta(seconds=10)
        self.held_time = timedelta(seconds=100)

    @property
    def fence(self) -> int:
        return self._fence

    def remaining(self) -> timedelta:
        return self.remaining_time

    def held_for(self) -> timedelta:
        return self.held_time


class FakeEngine:
    """An engine that checks fencing tokens, or ignores them.

    :param fencing: whether it refuses orders with an old fencing token
    """

    def __init__(self, fencing: bool, *loaded: LoadedModel) -> None:
        self.fencing = fencing
        self.fence = -1
        self.loaded = {(model.model, model.version): model for model in loaded}
        self.orders: list[Order] = []
        self.down = False
        self.ignores_loads = False

    def execute_order(self, order: Order) -> None:
        if self.fencing and order.fence < self.fence:
            raise OrderRefused(self.fence)
        self.fence = max(self.fence, order.fence)
        self.orders.append(order)
        if order.kind is OrderKind.LOAD:
            if not self.ignores_loads:
                self.loaded[order.model, order.version] = LoadedModel(
                    order.model, order.version, order.adapters
                )
        else:
            self.loaded.pop((order.model, order.version), None)

    def model_names(self) -> set[str]:
        return {f'{model}@{version}' for model, version in self.loaded}


async def deliver_at_once() -> None:
    """Deliver an order without a delay."""


class FakeEngines(EngineClient):
    """Reaches engines by address; ``before_order`` runs before an order."""

    def __init__(self, **engines: FakeEngine) -> None:
        self.engines = engines
        self.before_order: Callable[[], Awaitable[None]] = deliver_at_once

    def stream(
        self, address: str, request: EngineRequest
    ) -> AsyncIterator[Chunk | Finish]:
        raise NotImplementedError

    def reattach(
        self, address: str, request: EngineRequest, offset: int
    ) -> AsyncIterator[Chunk | Finish]:
        raise NotImplementedError

    async def cancel(self, address: str, request: str) -> None:
        raise NotImplementedError

    async def load(self, address: str) -> LoadReport:
        engine = self._reach(address)
        return LoadReport('boot', 0, 0, 8, 0, '', tuple(engine.loaded.values()))

    async def order(self, address: str, order: Order) -> None:
        await self.before_order()
        self._reach(address).execute_order(order)

    def _reach(self, address: str) -> FakeEngine:
        engine = self.engines[address]
        if engine.down:
            raise EngineUnreachable(address)
        return engine


class FakeView(FleetView):
    def __init__(self, *engines: Upstream) -> None:
        self.engines = engines

    def upstreams(self, service: str) -> tuple[Upstream, ...]:
        return tuple(
            engine for engine in self.engines if engine.service == service
        )

    def routers(self) -> tuple[RouterNode, ...]:
        return ()
