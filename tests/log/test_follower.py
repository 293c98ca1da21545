from collections.abc import AsyncIterator
from datetime import UTC, datetime, timedelta

import pytest

from bergamotshed.clock import ManualClock
from bergamotshed.log.follower import follow
from bergamotshed.log.types import Log, LogPage, LogUnavailable, Record

TIME = datetime.fromtimestamp(0, UTC)


class ScriptedLog(Log):
    """Answers reads from a list; None stands for an outage."""

    def __init__(self, pages: list[LogPage | None]) -> None:
        self.pages = pages
        self.reads: list[tuple[int, float]] = []

    async def append(self, stream: str, payload: bytes) -> int:
        raise NotImplementedError

    async def read(
        self,
        stream: str,
        start: int,
        *,
        limit: int = 500,
        wait: timedelta = timedelta(0),
    ) -> LogPage:
        self.reads.append((start, wait.total_seconds()))
        page = self.pages.pop(0)
        if page is None:
            raise LogUnavailable('outage')
        return page


def page(first: int, *offsets: int) -> LogPage:
    records = tuple(Record(offset, TIME, b'') for offset in offsets)
    return LogPage(first, offsets[-1] + 1 if offsets else first, records)


async def read_pages(
    pages: AsyncIterator[LogPage], count: int
) -> list[LogPage]:
    return [await anext(pages) for _ in range(count)]


@pytest.mark.parametrize(
    ('script', 'reads'),
    [
        ([page(0, 0, 1), page(0, 2), page(0)], [(0, 0), (2, 20), (3, 20)]),
        ([page(5, 5, 6), page(5)], [(0, 0), (7, 20)]),
        ([page(5), page(5)], [(0, 0), (5, 20)]),
        ([page(0, 0), None, None, page(0, 1)], [(0, 0), (1, 20), (1, 0)] * 1),
    ],
)
async def test_offsets_and_wait_times_of_reads(
    script: list[LogPage | None], reads: list[tuple[int, float]]
) -> None:
    log = ScriptedLog(list(script))
    pages = follow(log, 's', 0, ManualClock())
    expected_pages = [entry for entry in script if entry is not None]
    assert await read_pages(pages, len(expected_pages)) == expected_pages
    assert log.reads[: len(reads)] == reads


async def test_retry_delays_grow_and_stay_bounded() -> None:
    clock = ManualClock()
    log = ScriptedLog([*([None] * 20), page(0, 0)])
    await read_pages(follow(log, 's', 0, clock), 1)
    assert 10 < clock.monotonic() < 40
