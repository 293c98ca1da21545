"""
tests.standins.streams
~~~~~~~~~~~~~~~~~~~~~~

A run as server-sent events, with the faults of streams and chunks.
"""

__all__ = ('DONE_EVENT', 'stream_events')

import json
from collections.abc import AsyncIterator, Iterator
from typing import Any

from .base import FaultTable
from .runs import Run

DONE_EVENT = b'data: [DONE]\n\n'


async def stream_events(
    run: Run, start: int, attempt: int, faults: FaultTable
) -> AsyncIterator[bytes]:
    """Yield the events from an offset on.

    Ends without the final event when a fault breaks the stream or the run
    ends early.
    """
    sent = start
    delayed_events: list[bytes] = []
    while True:
        changed = run.changed
        while sent < run.produced_tokens:
            await _wait_while_stalled(faults, sent)
            if _should_break(faults, sent):
                return
            for event in _chunk_events(
                run, sent, attempt, faults, delayed_events
            ):
                yield event
            sent += 1
        if run.end_reason:
            break
        await changed.wait()
    for event in delayed_events:
        yield event
    if run.is_complete:
        yield _event(_finish(run, attempt))
        yield DONE_EVENT


async def _wait_while_stalled(faults: FaultTable, sent: int) -> None:
    while True:
        fault = faults.find('stall')
        if fault is None or sent < fault.number('after', 0):
            return
        faults.use('stall')
        await faults.wait_for_change()


def _should_break(faults: FaultTable, sent: int) -> bool:
    fault = faults.find('break')
    if fault is None or sent < fault.number('after', 0):
        return False
    faults.use('break')
    return True


def _chunk_events(
    run: Run,
    offset: int,
    attempt: int,
    faults: FaultTable,
    delayed_events: list[bytes],
) -> Iterator[bytes]:
    fault = faults.use('chunks')
    mode = fault.options.get('mode') if fault else ''
    chunk = _chunk(run, offset, attempt)
    if mode == 'reorder' and not delayed_events:
        delayed_events.append(_event(chunk))
        return
    if mode == 'stale':
        yield _event({**chunk, 'attempt': attempt - 1, 'text': 'stale '})
    elif mode == 'foreign':
        yield _event({**chunk, 'request': 'another', 'text': 'foreign '})
    yield _event(chunk)
    if mode == 'duplicate':
        yield _event(chunk)
    yield from delayed_events
    delayed_events.clear()


def _chunk(run: Run, offset: int, attempt: int) -> dict[str, Any]:
    return {
        'request': run.request,
        'attempt': attempt,
        'offset': offset,
        'text': run.tokens[offset],
    }


def _finish(run: Run, attempt: int) -> dict[str, Any]:
    return {
        'request': run.request,
        'attempt': attempt,
        'offset': len(run.tokens),
        'finish': 'stop',
        'cached': run.cached_tokens,
        'prompt': run.prompt_tokens,
    }


def _event(content: dict[str, Any]) -> bytes:
    return f'data: {json.dumps(content)}\n\n'.encode()
