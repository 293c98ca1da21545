"""
bergamotshed.operators.command
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What every command of the program has in common.
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
    """The command line is wrong."""


class CommandError(BergamotshedError):
    """The command was understood but did not succeed."""


@dataclass(frozen=True, slots=True)
class Options:
    """The parsed command line.

    :ivar arguments: what is no option, in its order
    :ivar named: the options' texts; empty where not given
    """

    arguments: tuple[str, ...]
    named: dict[str, str]

    def required(self, name: str) -> str:
        """Return an option that must be given.

        :raises UsageError: it was not given
        """
        text = self.named[name]
        if not text:
            raise UsageError(f'option --{name} is needed')
        return text

    def sole_argument(self, noun: str) -> str:
        """Return the only argument.

        :raises UsageError: there is none, or more than one
        """
        if len(self.arguments) != 1:
            raise UsageError(f'one {noun} is needed')
        return self.arguments[0]


class Command(ABC):
    """One command; subclasses set the attributes and override :meth:`run`.

    :ivar name: the word on the command line
    :ivar aliases: other words for it
    :ivar summary: one line for the usage text
    :ivar options: its options, and what each means
    """

    name: ClassVar[str]
    aliases: ClassVar[tuple[str, ...]] = ()
    summary: ClassVar[str]
    options: ClassVar[dict[str, str]] = {}

    @abstractmethod
    def run(self, options: Options) -> int:
        """Do the work and return the exit code.

        :raises UsageError: the command line is wrong
        :raises CommandError: the work did not succeed
        :raises OptionError: a file that it reads is wrong
        """
