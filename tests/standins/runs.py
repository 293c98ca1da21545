"""
tests.standins.runs
~~~~~~~~~~~~~~~~~~~

The runs of a stand-in engine and the slots that they run in.
"""

__all__ = ('EngineOptions', 'Run', 'Slots')

import asyncio
import heapq
import itertools
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

from .answers import answer_tokens, digest, prompt_option, prompt_tokens


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """Capacity and timing of an engine.

    :ivar queue_size: how many requests may wait for a slot
    :ivar down_s: time that the engine is unreachable after a crash
    :ivar load_s: time that an order takes
    :ivar grace_s: time that a run continues without readers
    :ivar has_fencing: whether orders with old fencing tokens are rejected
    :ivar requires_loaded_model: whether chats are refused while no model is
        loaded
    :ivar should_exit_on_crash: whether a crash ends the process
    """

    name: str = 'engine'
    service: str = ''
    slots: int = 32
    queue_size: int = 64
    token_s: float = 0.001
    prefill_s: float = 0
    cache_tokens: int = 200_000
    boot: str = ''
    down_s: float = 0.5
    load_s: float = 0
    grace_s: float = 2
    has_fencing: bool = True
    requires_loaded_model: bool = False
    should_exit_on_crash: bool = False


class Run:
    """The run of one attempt; it goes on while no stream reads it.

    :ivar start: offset of the first token that is produced
    :ivar end_reason: why the run ended; empty while it goes on
    :ivar changed: set when a token was produced or the run ended
    """

    def __init__(self, content: dict[str, Any], options: EngineOptions) -> None:
        self.request: str = content['request']
        self.attempt: int = content['attempt']
        self.priority: int = content.get('priority', 5)
        self.messages: list[dict[str, str]] = content['messages']
        self.chat: str = content.get('chat') or digest(self.messages[:1])
        self.cache_key = '|'.join(
            content.get(part, '') for part in ('model', 'version', 'adapter')
        )
        self.tokens = answer_tokens(
            self.messages, content.get('max_tokens', 256)
        )
        resume = content.get('resume') or {'offset': 0, 'text': ''}
        self.start: int = resume['offset']
        self.produced_tokens = self.start
        self.end_reason = ''
        self.listeners = 0
        self.cached_tokens = 0
        self.changed = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        self._resume_text: str = resume['text']
        self._options = options
        self._key = content.get('key') or prompt_option(self.messages, 'key')

    @property
    def prompt_tokens(self) -> int:
        """Return the size of the prompt in tokens."""
        return sum(prompt_tokens(turn['content']) for turn in self.messages)

    @property
    def is_complete(self) -> bool:
        """Return whether the last token was produced."""
        return self.end_reason == 'stop'

    def has_valid_resume_text(self) -> bool:
        """Check that the text to resume after is the start of the answer."""
        return self._resume_text == ''.join(self.tokens[: self.start])

    def messages_with_answer(self) -> list[dict[str, str]]:
        """Return the chat with the answer appended."""
        answer = {'role': 'assistant', 'content': ''.join(self.tokens)}
        return [*self.messages, answer]

    def start_record(self) -> dict[str, Any]:
        """Return the entry for the run record."""
        return {
            'request': self.request,
            'attempt': self.attempt,
            'key': self._key,
            'digest': digest(self.messages),
            'start': self.start,
            'cached': self.cached_tokens,
            'prompt': self.prompt_tokens,
            'time': time.time(),
            'ended': '',
        }

    def end_record(self) -> dict[str, Any]:
        """Return the fields that complete the run record at the end."""
        return {
            'ended': self.end_reason,
            'ended_at': time.time(),
            'produced': self.produced_tokens,
        }

    def abort(self, reason: str) -> None:
        """End the run early, unless it has ended."""
        if not self.end_reason:
            self._end(reason)

    async def produce(self) -> None:
        """Produce the tokens after the prefill of the uncached prompt."""
        uncached = self.prompt_tokens - self.cached_tokens
        await asyncio.sleep(uncached * self._options.prefill_s)
        while self.produced_tokens < len(self.tokens) and not self.end_reason:
            await asyncio.sleep(self._options.token_s)
            self.produced_tokens += 1
            self._notify()
        if not self.end_reason:
            self._end('stop')

    def _end(self, reason: str) -> None:
        self.end_reason = reason
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


class Slots:
    """A limited number of slots, granted by priority, then by arrival."""

    def __init__(self, slots: int, queue_size: int) -> None:
        self._free = slots
        self._max_queued = queue_size
        self._queue: list[tuple[int, int, asyncio.Future[None]]] = []
        self._arrival_numbers = itertools.count()
        self.running = 0
        self.max_running = 0

    @property
    def waiting(self) -> int:
        """Return how many requests wait for a slot."""
        return len(self._queue)

    def has_room(self) -> bool:
        """Return whether one more request may run or wait."""
        return self._free > 0 or self.waiting < self._max_queued

    @asynccontextmanager
    async def acquire(self, priority: int) -> AsyncIterator[None]:
        """Wait for a slot and hold it until the context ends."""
        if self._free > 0:
            self._free -= 1
        else:
            granted = asyncio.get_running_loop().create_future()
            entry = (priority, next(self._arrival_numbers), granted)
            heapq.heappush(self._queue, entry)
            await granted
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            yield
        finally:
            self.running -= 1
            self._release()

    def _release(self) -> None:
        if self._queue:
            heapq.heappop(self._queue)[2].set_result(None)
        else:
            self._free += 1
