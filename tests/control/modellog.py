"""An in-memory log with faults and retention, and pauses of its clients."""

import asyncio
from collections import defaultdict
from collections.abc import Awaitable, Callable
from datetime import timedelta
from enum import Enum, auto
from typing import TypeVar

from bergamotshed.clock import Clock
from bergamotshed.log.types import (
    Log,
    LogAnswerLost,
    LogPage,
    LogUnavailable,
    Record,
)

DELAY_S = 0.002
T = TypeVar('T')


class Fault(Enum):
    """What happens to one append.

    ``REFUSED`` applies nothing and raises ``LogUnavailable``. The other
    faults raise ``LogAnswerLost``: ``LOST_AFTER`` once the record was
    applied, ``LOST_BEFORE`` without applying it, and ``LATE`` before it is
    applied after a delay.
    """

    NONE = auto()
    REFUSED = auto()
    LOST_AFTER = auto()
    LOST_BEFORE = auto()
    LATE = auto()


class ModelLog(Log):
    """An in-memory log; ``fault`` returns the fault of each append."""

    def __init__(
        self, clock: Clock, retention: timedelta = timedelta(days=9)
    ) -> None:
        self._clock = clock
        self._retention = retention
        self.streams: defaultdict[str, list[Record]] = defaultdict(list)
        self.first: defaultdict[str, int] = defaultdict(int)
        self.fault: Callable[[], Fault] = lambda: Fault.NONE
        self.late_append_delay_s = 10.0
        self.down = False
        self.appends = 0
        self.read_bytes = 0
        self._late_appends: set[asyncio.Task[None]] = set()

    async def append(self, stream: str, payload: bytes) -> int:
        await asyncio.sleep(DELAY_S)
        fault = Fault.REFUSED if self.down else self.fault()
        if fault is Fault.REFUSED:
            raise LogUnavailable
        if fault is Fault.LATE:
            task = asyncio.create_task(self._apply_late(stream, payload))
            self._late_appends.add(task)
            task.add_done_callback(self._late_appends.discard)
        if fault in {Fault.LATE, Fault.LOST_BEFORE}:
            raise LogAnswerLost
        offset = self._apply(stream, payload)
        await asyncio.sleep(DELAY_S)
        if fault is Fault.LOST_AFTER:
            raise LogAnswerLost
        return offset

    async def read(
        self,
        stream: str,
        start: int,
        *,
        limit: int = 500,
        wait: timedelta = timedelta(0),
    ) -> LogPage:
        await asyncio.sleep(DELAY_S)
        if self.down:
            raise LogUnavailable
        records = self.streams[stream]
        horizon = self._clock.now() - self._retention
        while (
            self.first[stream] < len(records)
            and records[self.first[stream]].time < horizon
        ):
            self.first[stream] += 1
        start = max(start, self.first[stream])
        records_read = tuple(records[start : start + limit])
        self.read_bytes += sum(len(record.payload) for record in records_read)
        return LogPage(self.first[stream], len(records), records_read)

    def _apply(self, stream: str, payload: bytes) -> int:
        records = self.streams[stream]
        self.appends += 1
        records.append(Record(len(records), self._clock.now(), payload))
        return len(records) - 1

    async def _apply_late(self, stream: str, payload: bytes) -> None:
        await asyncio.sleep(self.late_append_delay_s)
        self._apply(stream, payload)


class PausableLog(Log):
    """A router's client of the log, which blocks while it is paused."""

    def __init__(self, log: Log) -> None:
        self._log = log
        self.running = asyncio.Event()
        self.running.set()

    async def append(self, stream: str, payload: bytes) -> int:
        return await self._run(lambda: self._log.append(stream, payload))

    async def read(
        self,
        stream: str,
        start: int,
        *,
        limit: int = 500,
        wait: timedelta = timedelta(0),
    ) -> LogPage:
        return await self._run(
            lambda: self._log.read(stream, start, limit=limit, wait=wait)
        )

    async def _run(self, call: Callable[[], Awaitable[T]]) -> T:
        await self.running.wait()
        try:
            return await call()
        finally:
            await self.running.wait()
