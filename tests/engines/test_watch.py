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
    """Stops after a minute: later sleeps never end."""

    async def sleep(self, duration: timedelta) -> None:
        if self.monotonic() >= 60:
            await asyncio.Event().wait()
        await super().sleep(duration)


class ReportingEngine(FakeEngines):
    """Answers with one report, or can't be reached."""

    def __init__(self) -> None:
        super().__init__()
        self.is_up = True
        self.read_count = 0

    async def load(self, address: str) -> LoadReport:
        self.read_count += 1
        if not self.is_up:
            raise EngineUnreachable
        return REPORT


@pytest.mark.parametrize(
    ('model', 'can_serve'),
    [
        ('', True),
        ('notes@v2', True),
        ('notes@v2+tags', True),
        ('notes@v1', False),
        ('notes@v2+other', False),
    ],
)
def test_only_engines_with_the_model_can_serve(
    model: str, can_serve: bool
) -> None:
    reports = EngineReports(ManualClock())
    assert reports.can_serve('e1', model)
    reports.put('e1', REPORT)
    assert reports.can_serve('e1', model) is can_serve


@pytest.mark.parametrize(
    ('is_settled', 'min_reads', 'max_reads'), [(True, 1, 5), (False, 30, 120)]
)
async def test_unsettled_engines_are_polled_more_often(
    is_settled: bool, min_reads: int, max_reads: int
) -> None:
    clock = MinuteClock()
    client = ReportingEngine()
    watcher = EngineWatcher(
        client,
        EngineReports(clock),
        lambda: [ENGINE],
        lambda _: is_settled,
        clock,
    )
    task = asyncio.create_task(watcher.run())
    await until(lambda: clock.monotonic() >= 60)
    task.cancel()
    assert min_reads <= client.read_count <= max_reads


async def test_only_watched_engines_have_reports() -> None:
    clock = ManualClock()
    reports = EngineReports(clock)
    client = ReportingEngine()
    watched_engines = [ENGINE]
    watcher = EngineWatcher(
        client, reports, lambda: watched_engines, lambda _: True, clock
    )
    task = asyncio.create_task(watcher.run())
    await until(lambda: reports.boot('e1') == 'b1')
    client.is_up = False
    await until(lambda: not reports.latest_reports)
    client.is_up = True
    await until(lambda: bool(reports.latest_reports))
    watched_engines.clear()
    await until(lambda: not reports.latest_reports)
    task.cancel()
