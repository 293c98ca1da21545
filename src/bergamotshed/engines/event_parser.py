"""
bergamotshed.engines.event_parser
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Turns the bytes of an engine's server-sent events into chunks and finishes.
"""

__all__ = ('EventParser',)

from collections.abc import Iterator

from msgspec import DecodeError, Struct
from msgspec.json import Decoder

from .types import Chunk, EngineCut, Finish

MAX_EVENT_BYTES = 1024 * 1024

DATA_PREFIX = b'data:'
DONE = b'[DONE]'


class StreamEvent(Struct):
    """The engine's shape of a chunk, or of a finish when it names one."""

    request: str
    attempt: int
    offset: int
    text: str = ''
    finish: str = ''
    cached: int = 0
    prompt: int = 0


class EventParser:
    """Collects bytes and gives the events that they complete."""

    def __init__(self) -> None:
        self._rest = b''
        self._decode = Decoder(StreamEvent).decode

    def feed(self, received: bytes) -> Iterator[Chunk | Finish]:
        """Give the events that these bytes complete.

        :raises EngineCut: an event is malformed or too long
        """
        lines = (self._rest + received).split(b'\n')
        self._rest = lines.pop()
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EngineCut('the engine sent an event without an end')
        for line in lines:
            if line.startswith(DATA_PREFIX):
                payload = line[len(DATA_PREFIX) :].strip()
                if payload != DONE:
                    yield self._event(payload)

    def _event(self, payload: bytes) -> Chunk | Finish:
        try:
            event = self._decode(payload)
        except DecodeError as error:
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
