"""
bergamotshed.engines.assemble
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Checks that an answer is complete: every token once and in order, from the
expected request and attempt, up to the finish event.
"""

__all__ = ('StreamAssembler',)

from collections.abc import Iterable

from .types import Chunk, EngineCut, Finish

MAX_REORDERED_CHUNKS = 256


class StreamAssembler:
    """Puts the events of one attempt into the order of their offsets.

    Each chunk holds exactly one token, so the next offset is always known.

    :param request: id of the request; events of other requests are dropped
    :param attempt: its attempt; events of other attempts are dropped
    :param offset: offset of the first token to receive
    """

    def __init__(self, request: str, attempt: int, offset: int) -> None:
        self._request = request
        self._attempt = attempt
        self._next = offset
        self._buffered: dict[int, Chunk] = {}
        self._finish: Finish | None = None
        self._is_finished = False

    @property
    def next_offset(self) -> int:
        """Return the offset of the first token not yet received in order."""
        return self._next

    @property
    def is_finished(self) -> bool:
        """Return whether the finish event was returned by :meth:`accept`."""
        return self._is_finished

    @property
    def has_gap(self) -> bool:
        """Return whether buffered events wait for an earlier token."""
        return bool(self._buffered) or self._finish is not None

    def accept_all(
        self, events: Iterable[Chunk | Finish]
    ) -> list[Chunk | Finish]:
        """Accept several events; see :meth:`accept`."""
        in_order: list[Chunk | Finish] = []
        for event in events:
            in_order.extend(self.accept(event))
        return in_order

    def accept(self, event: Chunk | Finish) -> list[Chunk | Finish]:
        """Accept one event and return those that are now in order.

        :raises EngineCut: too many chunks are buffered behind a gap, or the
            finish event contradicts the tokens
        """
        if self._is_finished:
            return []
        if event.request != self._request or event.attempt != self._attempt:
            return []
        if isinstance(event, Finish):
            return self._accept_finish(event)
        if event.offset == self._next and not self.has_gap:
            self._next += 1
            return [event]
        if event.offset < self._next:
            return []
        return self._buffer_chunk(event)

    def _accept_finish(self, finish: Finish) -> list[Chunk | Finish]:
        if finish.offset < self._next:
            raise EngineCut('the finish event contradicts the tokens')
        self._finish = self._finish or finish
        return self._pop_ready()

    def _buffer_chunk(self, chunk: Chunk) -> list[Chunk | Finish]:
        self._buffered.setdefault(chunk.offset, chunk)
        if len(self._buffered) > MAX_REORDERED_CHUNKS:
            raise EngineCut('too many tokens arrived ahead of a missing one')
        return self._pop_ready()

    def _pop_ready(self) -> list[Chunk | Finish]:
        in_order: list[Chunk | Finish] = []
        while self._next in self._buffered:
            in_order.append(self._buffered.pop(self._next))
            self._next += 1
        finish = self._finish
        if finish is None:
            return in_order
        if finish.offset < self._next or self._has_token_past(finish):
            raise EngineCut('the finish event contradicts the tokens')
        if finish.offset == self._next:
            in_order.append(finish)
            self._is_finished = True
        return in_order

    def _has_token_past(self, finish: Finish) -> bool:
        return any(offset >= finish.offset for offset in self._buffered)
