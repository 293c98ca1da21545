"""
bergamotshed.intake.pacing
~~~~~~~~~~~~~~~~~~~~~~~~~~

Shares the time of the event loop between connections whose bytes are costly
to parse, such as bodies in chunks of a byte, and everything else.
"""

__all__ = ('Pacer',)

from collections.abc import Callable

from ..clock import Clock

#: Parsing a piece that takes less is not costly; a piece of ordinary bytes
#: takes a small part of it.
COSTLY_S = 0.001
#: Length of a turn as a multiple of the time that a piece took; the rest of it
#: is for everything else.
TURN_FACTOR = 2


class Pacer:
    """Gives costly connections turns, with as much time for others between.

    A single one needs no pauses, as the event loop itself alternates.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._free_at: float = 0
        self._last: object | None = None

    def run(self, connection: object, parse: Callable[[], None]) -> float:
        """Parse one piece of a connection.

        :returns: how long the connection must not be read then, in seconds
        """
        began_at = self._clock.monotonic()
        parse()
        now = self._clock.monotonic()
        parsing_s = now - began_at
        if parsing_s < COSTLY_S:
            return 0
        is_alone = self._last is connection
        self._last = connection
        if is_alone and self._free_at <= now:
            return 0
        self._free_at = max(now, self._free_at) + parsing_s * TURN_FACTOR
        return self._free_at - now
