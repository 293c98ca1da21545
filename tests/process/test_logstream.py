import json
import os
from collections.abc import Iterator
from datetime import timedelta

import pytest

from bergamotshed.clock import ManualClock
from bergamotshed.process.logstream import LogStream


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_all(reader: int) -> bytes:
    os.set_blocking(reader, False)
    content = b''
    while True:
        try:
            content += os.read(reader, 1 << 20)
        except BlockingIOError:
            return content


def parse_lines(text: bytes) -> list[dict[str, object]]:
    return [json.loads(line) for line in text.splitlines()]


def test_writes_one_object_a_line(pipe: tuple[int, int]) -> None:
    stream = LogStream(pipe[1], ManualClock())
    stream({'message_type': 'a', 'task_uuid': 'u', 'task_level': [1]})
    stream({'message_type': 'b', 'number': 1})
    stream.flush()
    assert parse_lines(read_all(pipe[0])) == [
        {'message_type': 'a'},
        {'message_type': 'b', 'number': 1},
    ]


def test_a_stalled_reader_does_not_block_the_process(
    pipe: tuple[int, int],
) -> None:
    clock = ManualClock()
    stream = LogStream(pipe[1], clock)
    for number in range(30_000):
        if not number % 1000:
            clock.advance(timedelta(seconds=1))
        stream({'message_type': 'a', 'number': number, 'text': 'x' * 80})
    stream.flush()
    assert stream.dropped > 0
    text = read_all(pipe[0])
    for _ in range(100):
        stream.flush()
        text += read_all(pipe[0])
    lines = parse_lines(text)
    dropped = sum(
        int(str(line['lines']))
        for line in lines
        if line['message_type'] == 'log.dropped'
    )
    assert dropped == stream.dropped
    logged = [line for line in lines if line['message_type'] == 'a']
    assert len(logged) + dropped == 30_000


def test_lines_above_the_rate_limit_are_dropped(pipe: tuple[int, int]) -> None:
    clock = ManualClock()
    stream = LogStream(pipe[1], clock)
    for _ in range(20_000):
        stream({'message_type': 'a', 'text': 'x' * 100})
    assert stream.dropped > 0
    dropped = stream.dropped
    clock.advance(timedelta(seconds=1))
    stream.flush()
    read_all(pipe[0])
    stream({'message_type': 'b'})
    assert stream.dropped == dropped
