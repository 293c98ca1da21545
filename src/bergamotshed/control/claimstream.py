"""
bergamotshed.control.claimstream
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One claims stream as a router uses it: appends in batches, reads on demand.
"""

__all__ = ('ClaimStream',)

import asyncio
from collections import deque
from contextlib import suppress
from datetime import timedelta

from ..clock import Clock
from ..log.types import Log, LogAnswerLost, LogError, Page
from ..routing.claimtable import ClaimTable, Entry, SettledEntry
from .claimrecords import decode_entries, encode_entries

#: How long the first entry of a batch waits for others.
BATCH_DELAY = timedelta(milliseconds=3)

#: Least time between two appends, so that a busy stream costs the log no
#: more than ten a second.
APPEND_GAP = timedelta(milliseconds=100)

#: How long an answer waits for a claim to travel with.
ANSWER_DELAY = timedelta(seconds=1)

#: Entries in one record, at most.
BATCH_ENTRIES = 200

#: Records in one read, at most.
PAGE_RECORDS = 500


class ClaimStream:
    """Appends to and folds one stream.

    :param name: the stream
    :param retention: how long keys are remembered
    """

    def __init__(
        self, log: Log, name: str, clock: Clock, retention: timedelta
    ) -> None:
        self._log = log
        self._name = name
        self._clock = clock
        self._queue: deque[tuple[Entry, asyncio.Future[None]]] = deque()
        self._writer: asyncio.Task[None] | None = None
        self._hurry = asyncio.Event()
        self._appended_at = -APPEND_GAP.total_seconds()
        self._reading = asyncio.Lock()
        self.table = ClaimTable(retention)

    @property
    def name(self) -> str:
        """Return the stream's name."""
        return self._name

    def close(self) -> None:
        """Stop appending; what still waits is cancelled."""
        if self._writer is not None:
            self._writer.cancel()
        for _, done in self._queue:
            done.cancel()
        self._queue.clear()

    async def append(self, entry: Entry) -> None:
        """Append an entry, in one record with others.

        Answers wait a little for a claim to travel with.

        :raises LogUnavailable: it was not appended
        :raises LogAnswerLost: it may have been appended
        """
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._queue.append((entry, done))
        if not isinstance(entry, SettledEntry):
            self._hurry.set()
        if self._writer is None or self._writer.done():
            self._writer = asyncio.create_task(self._write())
        await done

    async def refresh(self) -> None:
        """Fold every record that was appended before this call.

        :raises LogUnavailable: the log can't be read now
        """
        async with self._reading:
            while True:
                page = await self._log.read(
                    self._name, self.table.next_offset, limit=PAGE_RECORDS
                )
                self._fold(page)
                if self.table.next_offset >= page.next:
                    return

    def _fold(self, page: Page) -> None:
        self.table.skip_to(page.first, self._clock.now())
        for record in page.records:
            entries = decode_entries(record.payload)
            self.table.fold(record.offset, record.time, entries)

    async def _write(self) -> None:
        while self._queue:
            with suppress(TimeoutError):
                async with asyncio.timeout(ANSWER_DELAY.total_seconds()):
                    await self._hurry.wait()
            await self._clock.sleep(self._pause())
            self._appended_at = self._clock.monotonic()
            self._hurry.clear()
            size = min(len(self._queue), BATCH_ENTRIES)
            waiting = [self._queue.popleft() for _ in range(size)]
            batch = [entry for entry in waiting if not entry[1].cancelled()]
            if batch:
                await self._append_batch(batch)

    def _pause(self) -> timedelta:
        """Return how long to wait for more entries."""
        since = timedelta(seconds=self._clock.monotonic() - self._appended_at)
        return max(BATCH_DELAY, APPEND_GAP - since)

    async def _append_batch(
        self, batch: list[tuple[Entry, asyncio.Future[None]]]
    ) -> None:
        failure: BaseException | None = None
        payload = encode_entries([entry for entry, _ in batch])
        try:
            await self._log.append(self._name, payload)
        except LogError as error:
            failure = error
        except asyncio.CancelledError:
            failure = LogAnswerLost('stopped while appending')
            raise
        finally:
            _finish(batch, failure)


def _finish(
    batch: list[tuple[Entry, asyncio.Future[None]]],
    failure: BaseException | None,
) -> None:
    for _, done in batch:
        if done.done():
            continue
        if failure is None:
            done.set_result(None)
        else:
            done.set_exception(failure)
