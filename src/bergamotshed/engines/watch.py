"""
bergamotshed.engines.watch
~~~~~~~~~~~~~~~~~~~~~~~~~~

Keeps the latest load report of each engine whose requests this router
places. One task polls one engine.
"""

__all__ = ('EngineReports', 'EngineWatcher')

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from ..routing.boots import BootRegistry
from ..routing.readiness import Readiness
from ..routing.types import Upstream
from .types import EngineClient, EngineError, LoadReport

REPORT_INTERVAL = timedelta(seconds=15)
UNSETTLED_INTERVAL = timedelta(milliseconds=500)
ADJUST_INTERVAL = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class DatedReport:
    """A load report and the time at which it was received.

    :ivar received: time of the monotonic clock, in seconds
    """

    report: LoadReport
    received: float


class EngineReports(Readiness):
    """The latest load report of each watched engine.

    :param boots: records the boot id of each report
    """

    def __init__(self, clock: Clock, boots: BootRegistry | None = None) -> None:
        self._clock = clock
        self._boots = boots or BootRegistry()
        self._reports: dict[str, DatedReport] = {}

    @property
    def latest_reports(self) -> dict[str, DatedReport]:
        """Return the latest reports by engine name."""
        return self._reports

    def put(self, engine: str, report: LoadReport) -> None:
        """Store the latest report of an engine."""
        self._boots.record_boot(engine, report.boot)
        self._reports[engine] = DatedReport(report, self._clock.monotonic())

    def drop(self, engine: str) -> None:
        """Remove the report of an engine."""
        self._reports.pop(engine, None)

    def boot(self, engine: str) -> str:
        """Return the boot id in the engine's latest report, or empty."""
        dated = self._reports.get(engine)
        return dated.report.boot if dated else ''

    def can_serve(self, upstream: str, model: str) -> bool:
        """Return whether an engine has a model loaded.

        An engine without a report counts as able, so that routing goes on
        when no reports arrive.
        """
        dated = self._reports.get(upstream)
        if dated is None or not model:
            return True
        versioned_model, _, adapter = model.partition('+')
        return any(
            versioned_model == f'{loaded.model}@{loaded.version}'
            and (not adapter or adapter in loaded.adapters)
            for loaded in dated.report.loaded
        )


class EngineWatcher:
    """Polls the load reports of engines.

    :param watched_engines: returns the engines to poll now
    :param is_settled: returns whether an engine has loaded what the
        configuration wants; until then its report is read more often
    """

    def __init__(
        self,
        client: EngineClient,
        reports: EngineReports,
        watched_engines: Callable[[], Iterable[Upstream]],
        is_settled: Callable[[Upstream], bool],
        clock: Clock,
    ) -> None:
        self._client = client
        self._reports = reports
        self._watched_engines = watched_engines
        self._is_settled = is_settled
        self._clock = clock
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Run one polling task for each watched engine."""
        try:
            while True:
                self._adjust_tasks()
                await self._clock.sleep(ADJUST_INTERVAL)
        finally:
            for task in self._tasks.values():
                task.cancel()
            self._tasks.clear()

    def _adjust_tasks(self) -> None:
        watched = {
            upstream.name: upstream for upstream in self._watched_engines()
        }
        for name in self._tasks.keys() - watched.keys():
            self._tasks.pop(name).cancel()
            self._reports.drop(name)
        for name in watched.keys() - self._tasks.keys():
            self._tasks[name] = asyncio.create_task(self._poll(watched[name]))

    async def _poll(self, engine: Upstream) -> None:
        while True:
            try:
                report = await self._client.load(engine.address)
            except EngineError:
                self._reports.drop(engine.name)
            else:
                self._reports.put(engine.name, report)
            await self._wait_until_due(engine)

    async def _wait_until_due(self, engine: Upstream) -> None:
        """Wait until the next report is due.

        Waits less when the configuration changes and the engine is no longer
        settled.
        """
        due_at = self._clock.monotonic() + REPORT_INTERVAL.total_seconds()
        await self._clock.sleep(UNSETTLED_INTERVAL)
        while self._is_settled(engine) and self._clock.monotonic() < due_at:
            await self._clock.sleep(UNSETTLED_INTERVAL)
