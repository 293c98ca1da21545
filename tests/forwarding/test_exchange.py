"""Answers that end at any byte, in any way and in any segments."""

import asyncio
from dataclasses import dataclass
from datetime import timedelta

from hypothesis import event, given, settings
from hypothesis import strategies as st

from bergamotshed.forwarding.exchange import Exchange
from bergamotshed.forwarding.outcome import AttemptOutcome
from bergamotshed.forwarding.types import (
    RequestMetadata,
    RoutedRequest,
    UpstreamAnswer,
)
from bergamotshed.platform.headers import PlatformDialect
from bergamotshed.upstreams.types import Delimitation, Instance

from .broken_peer import (
    Ending,
    RecordingSink,
    SegmentedPool,
    UnobservedExchange,
)

EVENTS = tuple(b'id: %d\ndata: x\n\n' % number for number in range(1, 4))
CHUNK_COUNT = 3
REQUEST = RoutedRequest('a1', 'GET', '/a', 'h.example', (), b'', arrived_at=0)
METADATA = RequestMetadata('i-1', '', 5, timedelta(seconds=1))
UPSTREAM = Instance('i-1', 's', '127.0.0.1:1', 'a', 8)


@dataclass(frozen=True)
class BrokenAnswer:
    """An answer of which an upstream sends only the first bytes.

    :ivar body: the whole body
    :ivar payload: the whole answer
    :ivar sent: number of bytes of the payload that are sent
    :ivar segment_size: number of bytes received at once
    """

    body: bytes
    is_stream: bool
    delimitation: Delimitation
    payload: bytes
    sent: int
    segment_size: int
    ending: Ending

    @property
    def is_whole(self) -> bool:
        """Return whether nothing is missing."""
        return self.sent == len(self.payload)

    @property
    def segments(self) -> list[bytes]:
        """Return the pieces in which the answer is received."""
        sent = self.payload[: self.sent]
        return [
            sent[start : start + self.segment_size]
            for start in range(0, len(sent), self.segment_size)
        ]

    @property
    def looks_whole(self) -> bool:
        """Return whether no recipient can tell that something is missing.

        True of an answer whose body ends with the connection, if that is
        closed properly and, in a stream, not inside an event.
        """
        if (
            self.delimitation is not Delimitation.CONNECTION
            or self.ending is not Ending.CLOSE
        ):
            return False
        body_sent = self.sent - (len(self.payload) - len(self.body))
        if not self.is_stream:
            return body_sent >= 0
        ends = {len(b''.join(EVENTS[:count])) for count in range(1, 4)}
        return body_sent in ends


def framed(
    body: bytes, delimitation: Delimitation, *, is_stream: bool
) -> bytes:
    head = b'HTTP/1.1 200 OK\r\nBergamotshed-Attempt-Id: a1\r\n'
    head += b'Bergamotshed-Response-Seal: seal\r\n'
    if is_stream:
        head += b'Content-Type: text/event-stream\r\n'
    if delimitation is Delimitation.CONNECTION:
        return head + b'\r\n' + body
    if delimitation is Delimitation.LENGTH:
        return head + b'Content-Length: %d\r\n\r\n' % len(body) + body
    size = -(-len(body) // CHUNK_COUNT)
    pieces = [body[at : at + size] for at in range(0, len(body), size)]
    chunks = b''.join(b'%x\r\n%s\r\n' % (len(p), p) for p in pieces)
    return head + b'Transfer-Encoding: chunked\r\n\r\n' + chunks + b'0\r\n\r\n'


@st.composite
def broken_answers(draw: st.DrawFn) -> BrokenAnswer:
    is_stream = draw(st.booleans())
    delimitation = draw(
        st.sampled_from(
            (
                Delimitation.CONNECTION,
                Delimitation.LENGTH,
                Delimitation.CHUNKS,
            )
        )
    )
    body = b''.join(EVENTS) if is_stream else b'whole body'
    payload = framed(body, delimitation, is_stream=is_stream)
    # Rarely inside the head, which any end breaks.
    first = draw(st.sampled_from((0, len(payload) - len(body))))
    return BrokenAnswer(
        body,
        is_stream,
        delimitation,
        payload,
        draw(st.integers(first, len(payload))),
        draw(st.integers(1, len(payload))),
        draw(st.sampled_from(tuple(Ending))),
    )


async def caller_view(answer: BrokenAnswer) -> tuple[bytes | None, bytes]:
    """Return the body if the caller sees it as complete, and what it got."""
    sink = RecordingSink()
    pool = SegmentedPool(answer.segments, answer.ending)
    exchange = Exchange(
        REQUEST,
        sink,
        PlatformDialect(),
        pool,
        UnobservedExchange(),
        repeatable=False,
    )
    result = await exchange.run(UPSTREAM, METADATA, patience=None)
    if isinstance(result.answer, UpstreamAnswer):
        return result.answer.body, result.answer.body
    is_answered = result.outcome is AttemptOutcome.ANSWERED
    assert sink.is_finished == is_answered
    assert not pool.released or is_answered
    return (sink.body if sink.is_finished else None), sink.body


@settings(max_examples=1000, deadline=None, derandomize=True)
@given(broken_answers())
def test_an_incomplete_answer_never_looks_complete(
    answer: BrokenAnswer,
) -> None:
    complete, received = asyncio.run(caller_view(answer))
    kind = 'stream' if answer.is_stream else 'plain'
    event(f'{kind}, {answer.delimitation.value}, {answer.ending.value}')
    assert answer.body.startswith(received)
    ends_with_reset = (
        answer.delimitation is Delimitation.CONNECTION
        and answer.ending is not Ending.CLOSE
    )
    if answer.is_whole and not ends_with_reset:
        assert complete == answer.body
    elif answer.looks_whole:
        assert complete == received
    else:
        assert complete is None
