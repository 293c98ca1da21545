"""
bergamotshed.operators.router_command
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The command that runs a router.
"""

__all__ = ('RouterCommand',)

from typing import ClassVar

from ..process.libraries import configure_libraries
from .command import Command, CommandError, Options, UsageError


class RouterCommand(Command):
    """Runs a router until it receives a stop signal."""

    name = 'router'
    summary = 'run a router until SIGTERM'
    options: ClassVar[dict[str, str]] = {'settings': 'its INI file'}

    def run(self, options: Options) -> int:
        """Load the settings and run the router."""
        if options.arguments:
            raise UsageError('router takes no argument but --settings')
        # Imported here because the other commands need no router, and an
        # invalid settings file is reported without loading its libraries.
        from ..settings import load_settings

        settings = load_settings(options.required('settings'))
        configure_libraries()

        from ..main import run_router

        try:
            return run_router(settings)
        except OSError as error:
            raise CommandError(f'router: {error}') from error
