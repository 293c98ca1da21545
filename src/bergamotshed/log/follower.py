"""
bergamotshed.log.follower
~~~~~~~~~~~~~~~~~~~~~~~~~

Reads a stream of the log for as long as the process lives.
"""

__all__ = ('follow',)

from collections.abc import AsyncIterator
from datetime import timedelta

from ..backoff import Backoff
from ..clock import Clock
from .types import Log, LogUnavailable, Page

LONG_POLL_S = 20


async def follow(
    log: Log,
    stream: str,
    start: int,
    clock: Clock,
    *,
    backoff: Backoff | None = None,
) -> AsyncIterator[Page]:
    """Give the pages from an offset on, through outages, without end.

    Each answer is given, also an empty one, which says that the log is
    reachable and has nothing newer. Where records were lost to retention,
    the page's ``first`` lies past the offset that was to come next.

    :param start: the first offset wanted
    :param backoff: pauses between tries during an outage
    """
    pauses = backoff or Backoff()
    wanted = start
    wait = timedelta(0)
    while True:
        try:
            page = await log.read(stream, wanted, wait=wait)
        except LogUnavailable:
            wait = timedelta(0)
            await clock.sleep(pauses.next_pause())
            continue
        pauses.reset()
        yield page
        wanted = _following(page, wanted)
        wait = timedelta(seconds=LONG_POLL_S)


def _following(page: Page, wanted: int) -> int:
    if page.records:
        return page.records[-1].offset + 1
    return max(wanted, page.first)
