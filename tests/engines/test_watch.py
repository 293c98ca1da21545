import asyncio
from datetime import timedelta

import pytest

from bergamotshed.clock import ManualClock
from bergamotshed.engines.types import (
    EngineUnreachable,
    LoadedModel,
    LoadReport,
)
from bergamotshed.engines.watch import EngineReports, EngineWatcher
from bergamotshed.routing.types import Upstream
from tests.control.fakes import FakeEngines
from tests.waiting import until

REPORT = LoadReport(
    boot='b1',
    seq=1,
    in_flight=0,
    slots=8,
    cache_tokens=0,
    role='drafting',
    loaded=(LoadedModel('notes', 'v2', ('tags',)),),
)
ENGINE = Upstream('e1', 'drafting', '10.0.0.1:8000', 'a')


class MinuteClock(ManualClock):
    """Stands still after a minute."""

    async def sleep(self, duration: timedelta) -> None:
        if self.monotonic() >= 60:
            await asyncio.Event().wait()
        await super().sleep(duration)


class ReportingEngine(FakeEngines):
    """Gives one report, or can't be reached."""

    def __init__(self) -> None:
        super().__init__()
        self.up = True
        self.reads = 0

    async def load(self, address: str) -> LoadReport:
        self.reads += 1
        if not self.up:
            raise EngineUnreachable
        return REPORT


@pytest.mark.parametrize(
    ('model', 'able'),
    [
        ('', True),
        ('notes@v2', True),
        ('notes@v2+tags', True),
        ('notes@v1', False),
        ('notes@v2+other', False),
    ],
)
def test_only_engines_with_the_model_can_serve(model: str, able: bool) -> None:
    reports = EngineReports(ManualClock())
    assert reports.can_serve('e1', model)
    reports.put('e1', REPORT)
    assert reports.can_serve('e1', model) is able


@pytest.mark.parametrize(
    ('settled', 'least', 'most'), [(True, 1, 5), (False, 30, 120)]
)
async def test_an_engine_that_is_not_settled_is_read_more_often(
    settled: bool, least: int, most: int
) -> None:
    clock = MinuteClock()
    client = ReportingEngine()
    watcher = EngineWatcher(
        client,
        EngineReports(clock),
        lambda: [ENGINE],
        lambda _: settled,
        clock,
    )
    task = asyncio.create_task(watcher.run())
    await until(lambda: clock.monotonic() >= 60)
    task.cancel()
    assert least <= client.reads <= most


async def test_follows_the_wanted_engines_only() -> None:
    clock = ManualClock()
    reports = EngineReports(clock)
    client = ReportingEngine()
    wanted = [ENGINE]
    watcher = EngineWatcher(
        client, reports, lambda: wanted, lambda _: True, clock
    )
    task = asyncio.create_task(watcher.run())
    await until(lambda: reports.boot('e1') == 'b1')
    client.up = False
    await until(lambda: not reports.latest_reports)
    client.up = True
    await until(lambda: bool(reports.latest_reports))
    wanted.clear()
    await until(lambda: not reports.latest_reports)
    task.cancel()
