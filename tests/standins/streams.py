"""
tests.standins.streams
~~~~~~~~~~~~~~~~~~~~~~

A run as server-sent events, with the faults that befall chunks.
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
    """Give the events from an offset on; ends early when the run breaks."""
    sent = start
    held: list[bytes] = []
    while True:
        changed = run.changed
        while sent < run.produced:
            await _stall(faults, sent)
            if _breaks(faults, sent):
                return
            for event in _chunks(run, sent, attempt, faults, held):
                yield event
            sent += 1
        if run.ended:
            break
        await changed.wait()
    for event in held:
        yield event
    if run.whole:
        yield _event(_finish(run, attempt))
        yield DONE_EVENT


async def _stall(faults: FaultTable, sent: int) -> None:
    while True:
        fault = faults.find('stall')
        if fault is None or sent < fault.number('after', 0):
            return
        faults.use('stall')
        await faults.wait_for_change()


def _breaks(faults: FaultTable, sent: int) -> bool:
    fault = faults.find('break')
    if fault is None or sent < fault.number('after', 0):
        return False
    faults.use('break')
    return True


def _chunks(
    run: Run, offset: int, attempt: int, faults: FaultTable, held: list[bytes]
) -> Iterator[bytes]:
    fault = faults.use('chunks')
    mode = fault.options.get('mode') if fault else ''
    chunk = _chunk(run, offset, attempt)
    if mode == 'reorder' and not held:
        held.append(_event(chunk))
        return
    if mode == 'stale':
        yield _event({**chunk, 'attempt': attempt - 1, 'text': 'stale '})
    elif mode == 'foreign':
        yield _event({**chunk, 'request': 'another', 'text': 'foreign '})
    yield _event(chunk)
    if mode == 'duplicate':
        yield _event(chunk)
    yield from held
    held.clear()


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
        'cached': run.cached,
        'prompt': run.prompt,
    }


def _event(content: dict[str, Any]) -> bytes:
    return f'data: {json.dumps(content)}\n\n'.encode()
