"""
bergamotshed.engines.watch
~~~~~~~~~~~~~~~~~~~~~~~~~~

Keeps the latest load report of each engine whose placement this router
decides. One task follows one engine.
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

REPORT_PERIOD = timedelta(seconds=15)
UNSETTLED_PERIOD = timedelta(milliseconds=500)
ADJUST_PERIOD = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class DatedReport:
    """A load report and when it came.

    :ivar received: monotonic seconds
    """

    report: LoadReport
    received: float


class EngineReports(Readiness):
    """The latest report of each followed engine.

    :param boots: is told the boot id of each report
    """

    def __init__(self, clock: Clock, boots: BootRegistry | None = None) -> None:
        self._clock = clock
        self._boots = boots or BootRegistry()
        self._reports: dict[str, DatedReport] = {}

    @property
    def latest_reports(self) -> dict[str, DatedReport]:
        """Return the reports by engine name."""
        return self._reports

    def put(self, engine: str, report: LoadReport) -> None:
        """Keep a report."""
        self._boots.record_boot(engine, report.boot)
        self._reports[engine] = DatedReport(report, self._clock.monotonic())

    def drop(self, engine: str) -> None:
        """Forget an engine that is no longer followed."""
        self._reports.pop(engine, None)

    def boot(self, engine: str) -> str:
        """Return the engine's last known boot id, or empty."""
        dated = self._reports.get(engine)
        return dated.report.boot if dated else ''

    def can_serve(self, upstream: str, model: str) -> bool:
        """Tell whether an engine has a model loaded.

        An engine without a report counts as able, so that routing does not
        stop when reports do.
        """
        dated = self._reports.get(upstream)
        if dated is None or not model:
            return True
        named, _, adapter = model.partition('+')
        return any(
            named == f'{loaded.model}@{loaded.version}'
            and (not adapter or adapter in loaded.adapters)
            for loaded in dated.report.loaded
        )


class EngineWatcher:
    """Follows the load reports of the engines that are wanted.

    :param wanted: returns the engines to follow at this moment
    :param settled: tells whether an engine has what the configuration
        wants; until then its report is read more often
    """

    def __init__(
        self,
        client: EngineClient,
        reports: EngineReports,
        wanted: Callable[[], Iterable[Upstream]],
        settled: Callable[[Upstream], bool],
        clock: Clock,
    ) -> None:
        self._client = client
        self._reports = reports
        self._wanted = wanted
        self._settled = settled
        self._clock = clock
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Keep one task for each wanted engine."""
        try:
            while True:
                self._adjust()
                await self._clock.sleep(ADJUST_PERIOD)
        finally:
            for task in self._tasks.values():
                task.cancel()
            self._tasks.clear()

    def _adjust(self) -> None:
        wanted = {upstream.name: upstream for upstream in self._wanted()}
        for name in self._tasks.keys() - wanted.keys():
            self._tasks.pop(name).cancel()
            self._reports.drop(name)
        for name in wanted.keys() - self._tasks.keys():
            self._tasks[name] = asyncio.create_task(self._follow(wanted[name]))

    async def _follow(self, engine: Upstream) -> None:
        while True:
            try:
                report = await self._client.load(engine.address)
            except EngineError:
                self._reports.drop(engine.name)
            else:
                self._reports.put(engine.name, report)
            await self._pause(engine)

    async def _pause(self, engine: Upstream) -> None:
        """Wait for the next reading, which a changed configuration hastens."""
        due = self._clock.monotonic() + REPORT_PERIOD.total_seconds()
        await self._clock.sleep(UNSETTLED_PERIOD)
        while self._settled(engine) and self._clock.monotonic() < due:
            await self._clock.sleep(UNSETTLED_PERIOD)
