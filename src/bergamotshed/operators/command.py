"""
bergamotshed.operators.command
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The base class of all commands, their options and their errors.
"""

__all__ = (
    'EXIT_BAD_USAGE',
    'EXIT_FAILED',
    'EXIT_OK',
    'Command',
    'CommandError',
    'Options',
    'UsageError',
)

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import ClassVar

from ..errors import BergamotshedError

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_USAGE = 2


class UsageError(BergamotshedError):
    """The command line is invalid."""


class CommandError(BergamotshedError):
    """The command line is valid but the command failed."""


@dataclass(frozen=True, slots=True)
class Options:
    """The parsed command line.

    :ivar arguments: the positional arguments
    :ivar named: the texts of the options; empty for those not given
    """

    arguments: tuple[str, ...]
    named: dict[str, str]

    def required(self, name: str) -> str:
        """Return a required option.

        :raises UsageError: the option was not given
        """
        text = self.named[name]
        if not text:
            raise UsageError(f'option --{name} is needed')
        return text

    def sole_argument(self, noun: str) -> str:
        """Return the only argument.

        :param noun: name of the argument in the error message
        :raises UsageError: there is no argument, or more than one
        """
        if len(self.arguments) != 1:
            raise UsageError(f'one {noun} is needed')
        return self.arguments[0]


class Command(ABC):
    """One command; subclasses set the attributes and override :meth:`run`.

    :ivar name: its name on the command line
    :ivar aliases: alternative names
    :ivar summary: one line for the usage text
    :ivar options: help text of each option, by name
    """

    name: ClassVar[str]
    aliases: ClassVar[tuple[str, ...]] = ()
    summary: ClassVar[str]
    options: ClassVar[dict[str, str]] = {}

    @abstractmethod
    def run(self, options: Options) -> int:
        """Run the command and return the exit code.

        :raises UsageError: the command line is invalid
        :raises CommandError: the command failed
        :raises OptionError: a file that it reads is invalid
        """
