"""
bergamotshed.control.claimstream
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Access to one claims stream: appends in batches, reads on demand.
"""

__all__ = ('ClaimStream',)

import asyncio
from collections import deque
from contextlib import suppress
from datetime import timedelta

from ..clock import Clock
from ..log.types import Log, LogAnswerLost, LogError, LogPage
from ..routing.claimtable import ClaimTable, Entry, SettledEntry
from .claimrecords import decode_entries, encode_entries

#: How long the first entry of a batch waits for more entries.
BATCH_DELAY = timedelta(milliseconds=3)

#: Limits a busy stream to ten appends per second.
MIN_APPEND_INTERVAL = timedelta(milliseconds=100)

#: How long a settled answer waits for a claim or void to share its record.
ANSWER_DELAY = timedelta(seconds=1)

MAX_BATCH_ENTRIES = 200

MAX_PAGE_RECORDS = 500


class ClaimStream:
    """Appends entries to one stream and folds its records into a table.

    :param name: name of the stream
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
        self._urgent = asyncio.Event()
        self._appended_at = -MIN_APPEND_INTERVAL.total_seconds()
        self._read_lock = asyncio.Lock()
        self.table = ClaimTable(retention)

    @property
    def name(self) -> str:
        """Return the stream's name."""
        return self._name

    def close(self) -> None:
        """Stop appending and cancel the entries that still wait."""
        if self._writer is not None:
            self._writer.cancel()
        for _, appended in self._queue:
            appended.cancel()
        self._queue.clear()

    async def append(self, entry: Entry) -> None:
        """Append an entry, in one record with others.

        A settled answer waits up to ``ANSWER_DELAY`` for a claim or void.

        :raises LogUnavailable: it was not appended
        :raises LogAnswerLost: it may have been appended
        """
        appended: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._queue.append((entry, appended))
        if not isinstance(entry, SettledEntry):
            self._urgent.set()
        if self._writer is None or self._writer.done():
            self._writer = asyncio.create_task(self._write_batches())
        await appended

    async def refresh(self) -> None:
        """Fold every record that was appended before this call.

        :raises LogUnavailable: the log can't be read now
        """
        async with self._read_lock:
            while True:
                page = await self._log.read(
                    self._name, self.table.next_offset, limit=MAX_PAGE_RECORDS
                )
                self._fold_page(page)
                if self.table.next_offset >= page.next:
                    return

    def _fold_page(self, page: LogPage) -> None:
        self.table.skip_to(page.first, self._clock.now())
        for record in page.records:
            entries = decode_entries(record.payload)
            self.table.fold(record.offset, record.time, entries)

    async def _write_batches(self) -> None:
        while self._queue:
            with suppress(TimeoutError):
                async with asyncio.timeout(ANSWER_DELAY.total_seconds()):
                    await self._urgent.wait()
            await self._clock.sleep(self._batch_delay())
            self._appended_at = self._clock.monotonic()
            self._urgent.clear()
            size = min(len(self._queue), MAX_BATCH_ENTRIES)
            waiting = [self._queue.popleft() for _ in range(size)]
            batch = [entry for entry in waiting if not entry[1].cancelled()]
            if batch:
                await self._append_batch(batch)

    def _batch_delay(self) -> timedelta:
        """Return how long to wait before the next append."""
        elapsed = timedelta(seconds=self._clock.monotonic() - self._appended_at)
        return max(BATCH_DELAY, MIN_APPEND_INTERVAL - elapsed)

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
            failure = LogAnswerLost('the stream was closed during an append')
            raise
        finally:
            _resolve(batch, failure)


def _resolve(
    batch: list[tuple[Entry, asyncio.Future[None]]],
    failure: BaseException | None,
) -> None:
    for _, appended in batch:
        if appended.done():
            continue
        if failure is None:
            appended.set_result(None)
        else:
            appended.set_exception(failure)
