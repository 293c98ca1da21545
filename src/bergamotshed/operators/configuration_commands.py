"""
bergamotshed.operators.configuration_commands
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The commands that print, validate and publish a configuration.
"""

__all__ = ('PrintCommand', 'PublishCommand', 'ValidateCommand')

import asyncio
import runpy
from typing import TYPE_CHECKING, ClassVar

from ..errors import OptionError
from ..fleet import Fleet
from ..fleet.codec import decode_fleet
from .command import EXIT_OK, Command, CommandError, Options, UsageError

if TYPE_CHECKING:
    from .publish import PublishAccepted, PublishRefused

READABLE_FILE = 'a readable file'


class PrintCommand(Command):
    """Runs a fleet description, which prints its configuration."""

    name = 'print'
    summary = 'run a description FILE.py and print its configuration'

    def run(self, options: Options) -> int:
        """Run the file in this process."""
        path = options.sole_argument('description FILE.py')
        try:
            runpy.run_path(path, run_name='__main__')
        except (OSError, SyntaxError) as error:
            raise OptionError(
                path, '*', '*', f'a readable Python file ({error})'
            ) from error
        return EXIT_OK


class ValidateCommand(Command):
    """Validates a printed configuration."""

    name = 'validate'
    aliases = ('check',)
    summary = 'check a printed configuration FILE'

    def run(self, options: Options) -> int:
        """Validate the file and print a summary of its contents."""
        path = options.sole_argument('configuration FILE')
        fleet = _read_fleet(path)
        print(
            f'{path}: valid, {len(fleet.services)} services, '
            f'{len(fleet.organisations)} organisations'
        )
        return EXIT_OK


class PublishCommand(Command):
    """Publishes a printed configuration as the successor of a version."""

    name = 'publish'
    summary = 'publish a printed configuration FILE'
    options: ClassVar[dict[str, str]] = {
        'base': 'the version in force that FILE changes; -1 for the first',
        'log': "the platform log's address",
    }

    def run(self, options: Options) -> int:
        """Publish the file and print the version that it became."""
        # Imported here because only this command needs the log.
        from .publish import PublishAccepted

        path = options.sole_argument('configuration FILE')
        base = _parse_version(options.required('base'))
        address = options.required('log')
        fleet = _read_fleet(path)

        outcome = asyncio.run(_publish(address, base, fleet))
        if not isinstance(outcome, PublishAccepted):
            raise CommandError(outcome.detail)
        print(f'published: version {outcome.version}')
        return EXIT_OK


async def _publish(
    address: str, base: int, fleet: Fleet
) -> 'PublishAccepted | PublishRefused':
    from aiohttp import ClientSession

    from ..clock import SystemClock
    from ..log.client import HttpLog
    from ..log.types import LogUnavailable
    from .publish import PublishOutcomeUnknown, publish

    clock = SystemClock()
    async with ClientSession() as session:
        log = HttpLog(address, clock, session)
        try:
            return await publish(log, base, fleet, clock=clock)
        except (LogUnavailable, PublishOutcomeUnknown) as error:
            raise CommandError(f'log {address}: {error}') from error


def _read_fleet(path: str) -> Fleet:
    try:
        with open(path, 'rb') as source:
            text = source.read()
    except OSError as error:
        raise OptionError(
            path, '*', '*', f'{READABLE_FILE} ({error.strerror})'
        ) from error
    return decode_fleet(text, path)


def _parse_version(text: str) -> int:
    try:
        return int(text)
    except ValueError as error:
        raise UsageError(
            f'option --base: expected a version number, got {text!r}'
        ) from error
