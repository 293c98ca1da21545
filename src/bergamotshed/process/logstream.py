"""
bergamotshed.process.logstream
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Writes the structured log without ever waiting for its reader.
"""

__all__ = ('LogStream',)

import os
import stat
from collections import deque
from collections.abc import Mapping
from datetime import timedelta
from typing import Any

from msgspec import json

from ..clock import Clock

#: Size of the buffer for a slow reader; when it is full, lines are dropped.
MAX_BUFFER_BYTES = 1_048_576
#: Rate limit, averaged over one second: some thousand lines a second, several
#: times as much as a router logs at its planned load.
MAX_BYTES_PER_S = 1_048_576
#: Time between two flushes.
FLUSH_INTERVAL = timedelta(milliseconds=50)
#: Largest size of a single write, well below the buffer size of a pipe.
MAX_WRITE_BYTES = 32_768

_METADATA_FIELDS = frozenset(('task_uuid', 'task_level'))


class LogStream:
    """An eliot destination that writes one JSON object per line.

    :param descriptor: file descriptor to write to
    :ivar dropped: lines dropped since the start
    """

    def __init__(self, descriptor: int, clock: Clock) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._clock = clock
        self._lines: deque[bytes] = deque()
        self._buffered = 0
        self._reported_dropped = 0
        self._budget: float = MAX_BYTES_PER_S
        self._refilled_at = clock.monotonic()
        # Only a pipe: writing to a file never blocks for long, and on a
        # terminal the flag would apply to all other processes that use it.
        if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            os.set_blocking(descriptor, False)

    def __call__(self, message: Mapping[str, Any]) -> None:
        """Buffer one message; drop it if the buffer or the rate is exceeded."""
        fields = {
            name: field
            for name, field in message.items()
            if name not in _METADATA_FIELDS
        }
        line = json.encode(fields, enc_hook=str) + b'\n'
        if not self._reserve(len(line)):
            self.dropped += 1
            return
        self._lines.append(line)
        self._buffered += len(line)

    async def run(self) -> None:
        """Flush periodically until cancelled."""
        while True:
            await self._clock.sleep(FLUSH_INTERVAL)
            self.flush()

    def flush(self) -> None:
        """Write buffered lines until the descriptor accepts no more."""
        self._report_dropped()
        is_written = True
        while self._lines and is_written:
            is_written = self._write_batch()

    def _report_dropped(self) -> None:
        if self.dropped == self._reported_dropped:
            return
        fields = {
            'message_type': 'log.dropped',
            'lines': self.dropped - self._reported_dropped,
            'timestamp': self._clock.now().timestamp(),
        }
        self._lines.append(json.encode(fields) + b'\n')
        self._reported_dropped = self.dropped

    def _reserve(self, size: int) -> bool:
        """Reserve rate budget for a line; return whether it may be buffered."""
        now = self._clock.monotonic()
        refill = (now - self._refilled_at) * MAX_BYTES_PER_S
        self._budget = min(MAX_BYTES_PER_S, self._budget + refill)
        self._refilled_at = now
        if self._budget < size or self._buffered + size > MAX_BUFFER_BYTES:
            return False
        self._budget -= size
        return True

    def _write_batch(self) -> bool:
        """Write one batch; return whether the descriptor accepted all of it."""
        batch = self._next_batch()
        try:
            written = os.write(self._descriptor, batch)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader is gone, and there is nowhere else to report it.
            self.dropped += batch.count(b'\n')
            return True
        self._buffered -= written
        if written == len(batch):
            return True
        self._lines.appendleft(batch[written:])
        return False

    def _next_batch(self) -> bytes:
        size = 0
        batch = []
        while self._lines and size < MAX_WRITE_BYTES:
            line = self._lines.popleft()
            batch.append(line)
            size += len(line)
        return b''.join(batch)
