"""Runs a case and turns how it ended into the exit code of its script."""

import asyncio
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable

#: A script may take 120 seconds.
LIMIT_S = 110

BROKEN = 1
HELD = 0
NOT_RUN = 2


def run(main: Callable[[], Awaitable[int]]) -> None:
    """Exit with the result of a case, or with 2 if it couldn't run.

    All processes are ended before, also if the script itself is stopped.
    """
    signal.signal(signal.SIGTERM, signal.getsignal(signal.SIGINT))
    code = NOT_RUN
    try:
        code = asyncio.run(_limited(main))
    except (Exception, KeyboardInterrupt):
        traceback.print_exc()
    sys.exit(code)


async def _limited(main: Callable[[], Awaitable[int]]) -> int:
    async with asyncio.timeout(LIMIT_S):
        return await main()
