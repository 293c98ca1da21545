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
    """Runs a router until it is told to stop."""

    name = 'router'
    summary = 'run a router until SIGTERM'
    options: ClassVar[dict[str, str]] = {'settings': 'its INI file'}

    def run(self, options: Options) -> int:
        """Read the settings and run."""
        if options.arguments:
            raise UsageError('router takes no argument but --settings')
        # Imported here: the operators' commands need no router, and a wrong
        # settings file none of its libraries.
        from ..settings import load_settings

        settings = load_settings(options.required('settings'))
        configure_libraries()

        from ..main import run_router

        try:
            return run_router(settings)
        except OSError as error:
            raise CommandError(f'router: {error}') from error
