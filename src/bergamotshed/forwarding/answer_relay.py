"""
bergamotshed.forwarding.answer_relay
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Passes the answer of one or more attempts on to the caller.
"""

__all__ = ('AnswerRelay',)

from .events import EventSplitter
from .types import AnswerMetadata, AnswerSink


class AnswerRelay:
    """Passes an answer on to the caller, across all attempts.

    :param last_event_id: id of the last event that the caller had received
        before this request; ``None`` if it does not resume a stream
    :ivar splitter: holds the id of the last event that was passed on
    :ivar is_started: the head was sent
    """

    def __init__(self, sink: AnswerSink, last_event_id: int | None) -> None:
        self.splitter = EventSplitter(last_event_id)
        self.is_started = False
        self._sink = sink

    async def send(self, metadata: AnswerMetadata, piece: bytes) -> None:
        """Send a piece; the head goes before the first one."""
        if not self.is_started:
            self.is_started = True
            await self._sink.start(metadata.status, metadata.caller_headers)
        if piece:
            await self._sink.write(piece)

    async def finish(self, metadata: AnswerMetadata) -> None:
        """Send the bytes after the last event and end the answer.

        :raises EventIncompleteError: the stream ended inside an event
        """
        await self.send(metadata, self.splitter.finish())
        await self._sink.finish()

    def abort(self) -> None:
        """Break the caller's connection; the answer stays incomplete."""
        self._sink.abort()
