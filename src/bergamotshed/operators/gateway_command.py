"""
bergamotshed.operators.gateway_command
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The command that runs a gateway.
"""

__all__ = ('GatewayCommand',)

import gc
import os
import signal
from dataclasses import replace
from typing import TYPE_CHECKING, ClassVar

from ..process.libraries import configure_libraries
from ..sockets import listen_on_all
from .command import Command, CommandError, Options, UsageError

if TYPE_CHECKING:
    from ..gateway.settings import GatewaySettings


class GatewayCommand(Command):
    """Runs a gateway until it receives a stop signal."""

    name = 'gateway'
    summary = (
        'run a gateway, which routes requests by host and path, until SIGTERM'
    )
    options: ClassVar[dict[str, str]] = {
        'settings': 'its INI file; by default that of the platform'
    }

    def run(self, options: Options) -> int:
        """Load the settings and run the gateway."""
        if options.arguments:
            raise UsageError('gateway takes no argument but --settings')
        # Ignored until the event loop handles it. The loop reads the settings
        # file again after the start, so that no change is missed.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        # Imported here for the same reason as in router_command.py.
        from ..gateway.settings import load_gateway_settings
        from ..platform.names import FIRST_START_VARIABLE, SETTINGS_VARIABLE

        path = options.named['settings'] or os.environ.get(
            SETTINGS_VARIABLE, ''
        )
        if not path:
            raise UsageError('option --settings is needed')
        settings = load_gateway_settings(path)
        if os.environ.get(FIRST_START_VARIABLE) == 'true':
            node = replace(settings.node, first_start=True)
            settings = replace(settings, node=node)
        configure_libraries()
        try:
            return _run(settings, path)
        except OSError as error:
            raise CommandError(f'gateway: {error}') from error


def _run(settings: 'GatewaySettings', path: str) -> int:
    """Listen before the import of the libraries, which takes long."""
    addresses = (settings.addresses.callers, settings.addresses.directory)
    listeners = listen_on_all(addresses)
    # Imports create no garbage, so that collections during them would only
    # cost time.
    gc.disable()
    from ..gateway.main import run_gateway

    gc.freeze()
    gc.enable()
    return run_gateway(settings, path, listeners)
