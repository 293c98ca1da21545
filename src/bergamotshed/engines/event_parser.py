"""
bergamotshed.engines.event_parser
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Parses an engine's server-sent events into chunks and finish events.
"""

__all__ = ('EventParser',)

from collections.abc import Iterator

from msgspec import Struct
from msgspec.json import Decoder

from ..decoding import DECODE_ERRORS
from .types import Chunk, EngineCut, Finish

MAX_EVENT_BYTES = 1024 * 1024

DATA_PREFIX = b'data:'
DONE_PAYLOAD = b'[DONE]'


class StreamEvent(Struct):
    """An event as engines send it: a finish event if ``finish`` is set."""

    request: str
    attempt: int
    offset: int
    text: str = ''
    finish: str = ''
    cached: int = 0
    prompt: int = 0


class EventParser:
    """Buffers received bytes and returns the events that are complete."""

    def __init__(self) -> None:
        self._buffer = b''
        self._decode = Decoder(StreamEvent).decode

    def feed(self, received: bytes) -> Iterator[Chunk | Finish]:
        """Return the events that these bytes complete.

        :raises EngineCut: an event is malformed or too long
        """
        lines = (self._buffer + received).split(b'\n')
        self._buffer = lines.pop()
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EngineCut('the engine sent an event that is too long')
        for line in lines:
            if line.startswith(DATA_PREFIX):
                payload = line[len(DATA_PREFIX) :].strip()
                if payload != DONE_PAYLOAD:
                    yield self._parse_event(payload)

    def _parse_event(self, payload: bytes) -> Chunk | Finish:
        try:
            event = self._decode(payload)
        except DECODE_ERRORS as error:
            raise EngineCut('the engine sent a malformed event') from error
        if not event.finish:
            return Chunk(event.request, event.attempt, event.offset, event.text)
        return Finish(
            event.request,
            event.attempt,
            event.offset,
            event.finish,
            event.cached,
            event.prompt,
        )
