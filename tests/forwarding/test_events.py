import pytest
from hypothesis import given
from hypothesis import strategies as st

from bergamotshed.forwarding.events import (
    EventFormatError,
    EventIncompleteError,
    EventOrderError,
    EventSplitter,
    EventTooLongError,
)


def events(first: int, last: int) -> bytes:
    return b''.join(
        b'id: %d\ndata: x%d\n\n' % (number, number)
        for number in range(first, last + 1)
    )


#: The issue's goal: most bytes that are taken in of bytes without end.
MAX_TAKEN_BYTES = 262_144
LINE_ENDS = (b'\n', b'\r\n', b'\r')


@given(st.lists(st.integers(1, 40), max_size=30), st.sampled_from(LINE_ENDS))
def test_pieces_of_any_size_yield_whole_events(
    sizes: list[int], line_end: bytes
) -> None:
    stream = events(0, 9).replace(b'\n', line_end)
    splitter = EventSplitter()
    received = b''
    position = 0
    for size in sizes:
        whole = splitter.feed(stream[position : position + size])
        assert not whole or whole.endswith(line_end * 2)
        received += whole
        position += size
    received += splitter.feed(stream[position:])
    assert received == stream
    assert splitter.last_id == 9
    assert splitter.rest == b''


def test_a_resumed_stream_skips_events_already_returned() -> None:
    splitter = EventSplitter()
    splitter.feed(events(0, 3) + b'id: 4\nda')
    splitter.restart()
    assert splitter.feed(events(2, 5)) == events(4, 5)


def test_a_missing_event_raises_an_error() -> None:
    splitter = EventSplitter()
    splitter.feed(events(0, 3))
    splitter.restart()
    with pytest.raises(EventOrderError):
        splitter.feed(events(5, 6))


def test_a_splitter_starts_after_the_callers_last_event() -> None:
    splitter = EventSplitter(7)
    assert splitter.feed(events(6, 8)) == events(8, 8)


def test_events_without_ids_and_crlf_line_ends_are_accepted() -> None:
    stream = b'data: a\r\n\r\nid: 1\r\ndata: b\r\n\r\n'
    splitter = EventSplitter()
    assert splitter.feed(stream) == stream
    assert splitter.last_id == 1


@pytest.mark.parametrize('line_end', LINE_ENDS)
def test_a_stream_ends_only_between_events(line_end: bytes) -> None:
    stream = events(0, 2).replace(b'\n', line_end)
    boundaries = {len(stream) * count // 3 for count in range(4)}
    for position in range(len(stream) + 1):
        splitter = EventSplitter()
        splitter.feed(stream[:position])
        if position in boundaries:
            assert splitter.finish() == b''
        else:
            with pytest.raises(EventIncompleteError):
                splitter.finish()


@pytest.mark.parametrize(
    'rest', [b'', b'\n', b'\r\n', b': comment\n', b'\n: a\r\n:\n']
)
def test_blank_lines_and_comments_may_follow_the_last_event(
    rest: bytes,
) -> None:
    splitter = EventSplitter()
    assert splitter.feed(events(0, 1) + rest) + splitter.finish() == (
        events(0, 1) + rest
    )


@pytest.mark.parametrize(
    'rest', [b': comm', b'data', b'id: 2\n', b': a\ndata: x\n']
)
def test_the_start_of_a_line_may_not_follow_the_last_event(
    rest: bytes,
) -> None:
    splitter = EventSplitter()
    splitter.feed(events(0, 1) + rest)
    with pytest.raises(EventIncompleteError):
        splitter.finish()


@pytest.mark.parametrize('size', [1, 1000, 16_384])
def test_an_event_without_end_raises_an_error(size: int) -> None:
    splitter = EventSplitter()
    taken = 0
    with pytest.raises(EventTooLongError):
        while taken < 4 * MAX_TAKEN_BYTES:
            splitter.feed(b'x' * size)
            taken += size
    assert taken <= MAX_TAKEN_BYTES


@pytest.mark.parametrize('line_end', LINE_ENDS)
def test_a_long_event_that_comes_byte_by_byte_is_returned(
    line_end: bytes,
) -> None:
    event = b'id: 0' + line_end + b'data: ' + b'x' * 60_000 + 2 * line_end
    splitter = EventSplitter()
    received = b''.join(splitter.feed(bytes((byte,))) for byte in event)
    received += splitter.finish()
    assert received == event


@pytest.mark.parametrize(
    'block', [b'retry: 100\n\n', b': kept alive\n\n', b'event: x\n\n', b'\n\n']
)
def test_blocks_without_data_may_stand_between_events(block: bytes) -> None:
    splitter = EventSplitter()
    stream = events(0, 1) + block + events(2, 3)
    assert splitter.feed(stream) == stream


@pytest.mark.parametrize(
    'block',
    [
        b'data: x\n\n',
        b'data\n\n',
        b'event: e\ndata: x\n\n',
        b'x y\n\n',
        b'X: y\n\n',
    ],
)
def test_other_blocks_between_events_are_errors(block: bytes) -> None:
    splitter = EventSplitter()
    with pytest.raises(EventFormatError) as caught:
        splitter.feed(events(0, 1) + block + events(2, 3))
    assert caught.value.preceding == events(0, 1)
