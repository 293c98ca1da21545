"""
bergamotshed.log.follower
~~~~~~~~~~~~~~~~~~~~~~~~~

Reads a stream of the log continuously.
"""

__all__ = ('follow',)

from collections.abc import AsyncIterator
from datetime import timedelta

from ..backoff import Backoff
from ..clock import Clock
from .types import Log, LogPage, LogUnavailable

LONG_POLL_S = 20


async def follow(
    log: Log,
    stream: str,
    start: int,
    clock: Clock,
    *,
    backoff: Backoff | None = None,
) -> AsyncIterator[LogPage]:
    """Yield pages from an offset on, without end, also across outages.

    Empty pages are yielded too: they show that the log is reachable and has
    no newer record. Where retention has removed records, the page's ``first``
    is greater than the next offset.

    :param start: the first offset to read
    :param backoff: delays between retries during an outage
    """
    retry_delays = backoff or Backoff()
    next_offset = start
    wait = timedelta(0)
    while True:
        try:
            page = await log.read(stream, next_offset, wait=wait)
        except LogUnavailable:
            wait = timedelta(0)
            await clock.sleep(retry_delays.next())
            continue
        retry_delays.reset()
        yield page
        next_offset = _offset_after(page, next_offset)
        wait = timedelta(seconds=LONG_POLL_S)


def _offset_after(page: LogPage, next_offset: int) -> int:
    if page.records:
        return page.records[-1].offset + 1
    return max(next_offset, page.first)
