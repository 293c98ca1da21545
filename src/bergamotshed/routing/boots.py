"""
bergamotshed.routing.boots
~~~~~~~~~~~~~~~~~~~~~~~~~~

The newest boot id of each engine, which distinguishes a crash from a lost
connection.
"""

__all__ = ('BootRegistry',)

from collections import deque

MAX_RETIRED = 8


class BootRegistry:
    """Remembers the newest boot id of each engine.

    Reports may arrive late, so an id that was followed by another is never
    taken for the newest again.
    """

    def __init__(self) -> None:
        self._boots: dict[str, str] = {}
        self._retired: dict[str, deque[str]] = {}

    def current_boot(self, engine: str) -> str:
        """Return the engine's boot id, or empty if unknown."""
        return self._boots.get(engine, '')

    def record_boot(self, engine: str, boot: str) -> bool:
        """Record the boot id of a report; return whether it is the newest."""
        newest = self.current_boot(engine)
        if boot == newest:
            return True
        retired = self._retired_of(engine)
        if boot in retired:
            return False
        if newest:
            retired.append(newest)
        self._boots[engine] = boot
        return True

    def record_end(self, engine: str) -> None:
        """Record that the engine's run has ended; the next id is unknown."""
        boot = self._boots.pop(engine, '')
        if boot:
            self._retired_of(engine).append(boot)

    def forget(self, engine: str) -> None:
        """Drop an engine that left the fleet."""
        self._boots.pop(engine, None)
        self._retired.pop(engine, None)

    def _retired_of(self, engine: str) -> deque[str]:
        return self._retired.setdefault(engine, deque(maxlen=MAX_RETIRED))
