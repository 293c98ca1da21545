"""
bergamotshed.intake.costs
~~~~~~~~~~~~~~~~~~~~~~~~~

What the requests of one connection cost, from their first byte to their answer.
"""

__all__ = ('MAX_HEADERS', 'RequestCosts')

from collections import deque

from aiohttp import StreamReader

#: Longest head, with the blank lines before it; the limits of configurations
#: are far below.
MAX_HEAD_BYTES = 65_536
#: Bytes of chunk sizes, extensions and trailers that a body may have in all,
#: and for each byte of it; a chunk of one byte has five.
MAX_FRAMING_BYTES = 131_072
MAX_FRAMING_FACTOR = 16
#: Most headers, and memory for each: its strings and their containers.
MAX_HEADERS = 256
HEADER_COST_BYTES = 192
#: Memory for each line between the chunks of a body.
CHUNK_LINE_COST_BYTES = 32
#: Memory of requests that wait behind the one that is being answered, from
#: which on no more are read.
MAX_PIPELINED_BYTES = 131_072


class RequestCosts:
    """Counts the memory and the bytes of a connection's requests.

    :ivar handled_bytes: memory of the request that is being handled
    """

    def __init__(self) -> None:
        self.handled_bytes = 0
        # The body of the request that was parsed last.
        self._body: StreamReader | None = None
        self._raw_body_bytes = 0
        self._head_bytes = 0
        self._arriving_cost = 0
        self._waiting_costs: deque[int] = deque()

    @property
    def is_in_body(self) -> bool:
        """Return whether the next byte belongs to a body."""
        return self._body is not None and not self._body.is_eof()

    @property
    def is_between_requests(self) -> bool:
        """Return whether no part of a request has arrived."""
        return not (self.is_in_body or self._head_bytes)

    @property
    def is_head_too_large(self) -> bool:
        """Return whether the head that arrives is over its limit."""
        return self._head_bytes > MAX_HEAD_BYTES

    @property
    def is_framing_too_large(self) -> bool:
        """Return whether a body has too much besides its own bytes."""
        if self._body is None or not self.is_in_body:
            return False
        allowed = MAX_FRAMING_FACTOR * self._body.total_bytes
        return self._raw_body_bytes > MAX_FRAMING_BYTES + allowed

    @property
    def are_too_many_waiting(self) -> bool:
        """Return whether the requests that wait are over their limit."""
        return sum(self._waiting_costs) > MAX_PIPELINED_BYTES

    def estimate(self, piece: bytes) -> int:
        """Return the memory of a piece that has arrived.

        The body of the request that is handled is counted by who reads it.
        """
        lines = piece.count(b'\n')
        if not self.is_in_body:
            return len(piece) + min(lines, MAX_HEADERS) * HEADER_COST_BYTES
        if self._waiting_costs:
            return len(piece) + lines * CHUNK_LINE_COST_BYTES
        return 0

    def add_piece(self, piece: bytes, cost: int) -> None:
        """Count a piece before it is parsed.

        :param cost: see :meth:`estimate`
        """
        if self.is_in_body:
            self._raw_body_bytes += len(piece)
            if self._waiting_costs:
                self._waiting_costs[-1] += cost
        else:
            self._head_bytes += len(piece)
            self._arriving_cost += cost

    def add_messages(self, count: int, body: StreamReader) -> None:
        """Let messages wait whose heads are now parsed.

        :param body: that of the last one
        """
        self._waiting_costs.extend(0 for _ in range(count - 1))
        self._waiting_costs.append(self._arriving_cost)
        self._arriving_cost = 0
        self._head_bytes = 0
        self._raw_body_bytes = 0
        self._body = body

    def begin_handling(self) -> None:
        """Count the first message that waits as handled."""
        if self._waiting_costs:
            self.handled_bytes += self._waiting_costs.popleft()

    def end_handling(self) -> int:
        """Return the memory of the message that was handled."""
        released = self.handled_bytes
        self.handled_bytes = 0
        return released
