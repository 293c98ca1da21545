"""
bergamotshed.engines.assemble
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Checks that an answer is whole: every token once, in order, of the right
request and attempt, up to its finish event.
"""

__all__ = ('StreamAssembler',)

from collections.abc import Iterable

from .types import Chunk, EngineCut, Finish

MAX_REORDERED_CHUNKS = 256


class StreamAssembler:
    """Releases the events of one attempt in the order of their offsets.

    A chunk holds one token, so the next offset is always known.

    :param request: events of other requests are dropped
    :param attempt: events of other attempts are dropped
    :param offset: the first token that is still missing
    """

    def __init__(self, request: str, attempt: int, offset: int) -> None:
        self._request = request
        self._attempt = attempt
        self._next = offset
        self._early: dict[int, Chunk] = {}
        self._finish: Finish | None = None
        self._finished = False

    @property
    def next_offset(self) -> int:
        """Return the offset of the first token that is still missing."""
        return self._next

    @property
    def is_finished(self) -> bool:
        """Tell whether the finish event was released."""
        return self._finished

    @property
    def has_gap(self) -> bool:
        """Tell whether events wait for a token that has not come."""
        return bool(self._early) or self._finish is not None

    def accept_all(
        self, events: Iterable[Chunk | Finish]
    ) -> list[Chunk | Finish]:
        """Take some events; see :meth:`accept`."""
        released: list[Chunk | Finish] = []
        for event in events:
            released.extend(self.accept(event))
        return released

    def accept(self, event: Chunk | Finish) -> list[Chunk | Finish]:
        """Take one event and return those that are now in order.

        :raises EngineCut: the gap is too long, or the end contradicts
            the tokens
        """
        if self._finished:
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
        return self._accept_early(event)

    def _accept_finish(self, finish: Finish) -> list[Chunk | Finish]:
        if finish.offset < self._next:
            raise EngineCut('the finish event contradicts the tokens')
        self._finish = self._finish or finish
        return self._released()

    def _accept_early(self, chunk: Chunk) -> list[Chunk | Finish]:
        self._early.setdefault(chunk.offset, chunk)
        if len(self._early) > MAX_REORDERED_CHUNKS:
            raise EngineCut('a token of the answer never came')
        return self._released()

    def _released(self) -> list[Chunk | Finish]:
        released: list[Chunk | Finish] = []
        while self._next in self._early:
            released.append(self._early.pop(self._next))
            self._next += 1
        finish = self._finish
        if finish is None:
            return released
        if finish.offset < self._next or self._beyond(finish):
            raise EngineCut('the finish event contradicts the tokens')
        if finish.offset == self._next:
            released.append(finish)
            self._finished = True
        return released

    def _beyond(self, finish: Finish) -> bool:
        return any(offset >= finish.offset for offset in self._early)
