"""
bergamotshed.operators.commands
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The command line interface: finds a command by name and runs it.
"""

__all__ = ('COMMANDS', 'find_command', 'main')

import sys

from absl import flags

from ..errors import OptionError
from .command import (
    EXIT_BAD_USAGE,
    EXIT_FAILED,
    EXIT_OK,
    Command,
    CommandError,
    Options,
    UsageError,
)
from .configuration_commands import (
    PrintCommand,
    PublishCommand,
    ValidateCommand,
)
from .gateway_command import GatewayCommand
from .inspection_commands import ExplainCommand, StateCommand, StatusCommand
from .router_command import RouterCommand

PROGRAM = 'bergamotshed'
HELP_WORDS = frozenset(('help', '--help', '-h'))
COMMANDS: tuple[type[Command], ...] = (
    RouterCommand,
    GatewayCommand,
    PrintCommand,
    ValidateCommand,
    PublishCommand,
    StatusCommand,
    StateCommand,
    ExplainCommand,
)


def main(argv: list[str]) -> int:
    """Run one command and return its exit code.

    :param argv: the command line, starting with the program's name
    """
    if len(argv) > 1 and argv[1] in HELP_WORDS:
        print(_usage())
        return EXIT_OK
    try:
        return _run(argv[1:])
    except (OptionError, UsageError) as error:
        _print_error(error)
        return EXIT_BAD_USAGE
    except CommandError as error:
        _print_error(error)
        return EXIT_FAILED


def find_command(name: str) -> Command:
    """Return the command with that name or alias.

    :raises UsageError: there is no such command
    """
    for command in COMMANDS:
        if name == command.name or name in command.aliases:
            return command()
    names = ', '.join(kind.name for kind in COMMANDS)
    raise UsageError(f'unknown command {name!r}: expected one of {names}')


def _run(words: list[str]) -> int:
    if not words:
        raise UsageError(f'a command is needed; see {PROGRAM} help')
    command = find_command(words[0])
    return command.run(_parse(command, words))


def _parse(command: Command, words: list[str]) -> Options:
    flag_values = flags.FlagValues()
    for name, help_text in command.options.items():
        flags.DEFINE_string(name, '', help_text, flag_values=flag_values)
    flag_values.set_gnu_getopt()
    try:
        arguments = flag_values(words)[1:]
    except flags.Error as error:
        raise UsageError(f'{command.name}: {error}') from error
    named = {option: flag_values[option].value for option in command.options}
    return Options(tuple(arguments), named)


def _usage() -> str:
    lines = [f'usage: {PROGRAM} COMMAND [--option=value ...]', '']
    for command in COMMANDS:
        lines.append(f'  {command.name:10} {command.summary}')
        lines.extend(
            f'    --{name:12} {help_text}'
            for name, help_text in command.options.items()
        )
    return '\n'.join(lines)


def _print_error(error: Exception) -> None:
    message = ' '.join(str(error).split())
    print(f'{PROGRAM}: {message}', file=sys.stderr)
