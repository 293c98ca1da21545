"""
bergamotshed.operators.gateway_command
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The command that runs a gateway.
"""

__all__ = ('GatewayCommand',)

import gc
import os
import signal
from typing import TYPE_CHECKING, ClassVar

from ..process.libraries import configure_libraries
from ..sockets import listen_to_all
from .command import Command, CommandError, Options, UsageError

if TYPE_CHECKING:
    from ..gateway.settings import GatewaySettings


class GatewayCommand(Command):
    """Runs a gateway until it is told to stop."""

    name = 'gateway'
    summary = 'run a router of requests by host and path until SIGTERM'
    options: ClassVar[dict[str, str]] = {
        'settings': 'its INI file; by default the one that the platform names'
    }

    def run(self, options: Options) -> int:
        """Read the settings and run."""
        if options.arguments:
            raise UsageError('gateway takes no argument but --settings')
        # Until the loop obeys it; the file is read again then.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        # Imported here for the same reason as in the router's command.
        from ..gateway.settings import load_gateway_settings
        from ..platform.names import SETTINGS_VARIABLE

        path = options.named['settings'] or os.environ.get(
            SETTINGS_VARIABLE, ''
        )
        if not path:
            raise UsageError('option --settings is needed')
        settings = load_gateway_settings(path)
        configure_libraries()
        try:
            return _run(settings, path)
        except OSError as error:
            raise CommandError(f'gateway: {error}') from error


def _run(settings: 'GatewaySettings', path: str) -> int:
    """Listen first, and only then load the libraries."""
    addresses = (settings.addresses.callers, settings.addresses.directory)
    listeners = listen_to_all(addresses)
    # No garbage comes from loading; collections meanwhile find none.
    gc.disable()
    from ..gateway.main import run_gateway

    gc.freeze()
    gc.enable()
    return run_gateway(settings, path, listeners)
