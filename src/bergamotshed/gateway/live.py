"""
bergamotshed.gateway.live
~~~~~~~~~~~~~~~~~~~~~~~~~

The settings as they are now: read again on a signal and when the file
changes.
"""

__all__ = ('LiveSettings',)

import os
from dataclasses import fields, replace
from datetime import timedelta

from eliot import log_message

from ..clock import Clock
from ..errors import OptionError
from .settings import GatewaySettings, load_gateway_settings

#: Time between two looks at the file.
LOOK_EVERY = timedelta(seconds=1)
#: Sections that are used once, at the start.
FIXED = frozenset(('addresses', 'store'))


class LiveSettings:
    """Holds the settings in force; a file that is wrong changes nothing.

    :param path: the file; empty if there is none to read again
    """

    def __init__(
        self, settings: GatewaySettings, path: str, clock: Clock
    ) -> None:
        self._current = settings
        self._path = path
        self._clock = clock
        # The file may have changed since it was read, early in the start; the
        # first look reads it again.
        self._stamp: tuple[int, int] | None = None

    @property
    def current(self) -> GatewaySettings:
        """Return the settings in force."""
        return self._current

    async def run(self) -> None:
        """Read the file again whenever it changes, until cancelled."""
        while True:
            await self._clock.sleep(LOOK_EVERY)
            if self._look() != self._stamp:
                self.reload()

    def reload(self) -> None:
        """Read the file again; nothing in flight is touched."""
        self._stamp = self._look()
        if not self._path:
            return
        try:
            read = load_gateway_settings(self._path)
        except OptionError as error:
            log_message('settings.refused', detail=str(error))
            return
        changed = [
            part.name
            for part in fields(read)
            if getattr(read, part.name) != getattr(self._current, part.name)
        ]
        log_message(
            'settings.reloaded',
            changed=[name for name in changed if name not in FIXED],
            needs_restart=[name for name in changed if name in FIXED],
        )
        self._current = replace(
            read,
            addresses=self._current.addresses,
            store=self._current.store,
        )

    def _look(self) -> tuple[int, int] | None:
        """Return what changes with the file; ``None`` without one."""
        if not self._path:
            return None
        try:
            found = os.stat(self._path)
        except OSError:
            # Being replaced; the next look sees the new one.
            return None
        return found.st_mtime_ns, found.st_ino
