"""
bergamotshed.gateway.live_settings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The settings in force, reloaded on a signal and when the file changes.
"""

__all__ = ('LiveSettings',)

import os
from dataclasses import fields, replace
from datetime import timedelta

from eliot import log_message

from ..clock import Clock
from ..errors import OptionError
from .settings import GatewaySettings, load_gateway_settings

#: Time between two checks whether the file has changed.
CHECK_INTERVAL = timedelta(seconds=1)
#: Sections that are read only at startup; a change needs a restart.
RESTART_SECTIONS = frozenset(('addresses', 'store', 'limits'))


class LiveSettings:
    """Holds the settings in force; an invalid file changes nothing.

    :param path: the settings file; empty if there is none to reload
    """

    def __init__(
        self, settings: GatewaySettings, path: str, clock: Clock
    ) -> None:
        self._current = settings
        self._path = path
        self._clock = clock
        # The file may have changed since it was read early in the startup, so
        # the first check reloads it.
        self._file_version: tuple[int, int] | None = None

    @property
    def current(self) -> GatewaySettings:
        """Return the settings in force."""
        return self._current

    async def run(self) -> None:
        """Reload the file whenever it changes, until cancelled."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL)
            if self._stat_file() != self._file_version:
                self.reload()

    def reload(self) -> None:
        """Reload the file; requests in flight are not affected."""
        self._file_version = self._stat_file()
        if not self._path:
            return
        try:
            loaded = load_gateway_settings(self._path)
        except OptionError as error:
            log_message('settings.refused', detail=str(error))
            return
        changed = [
            section.name
            for section in fields(loaded)
            if getattr(loaded, section.name)
            != getattr(self._current, section.name)
        ]
        log_message(
            'settings.reloaded',
            changed=[name for name in changed if name not in RESTART_SECTIONS],
            needs_restart=[
                name for name in changed if name in RESTART_SECTIONS
            ],
        )
        self._current = replace(
            loaded,
            addresses=self._current.addresses,
            store=self._current.store,
            limits=self._current.limits,
        )

    def _stat_file(self) -> tuple[int, int] | None:
        """Return time of change and inode; ``None`` if there is no file."""
        if not self._path:
            return None
        try:
            status = os.stat(self._path)
        except OSError:
            # The file is being replaced; the next check finds the new one.
            return None
        return status.st_mtime_ns, status.st_ino
