"""
bergamotshed.options
~~~~~~~~~~~~~~~~~~~~

Typed options of the settings file: each kind of option parses its text and
describes the values that it allows.
"""

__all__ = (
    'Duration',
    'Flag',
    'Hex',
    'Integer',
    'Name',
    'Number',
    'Option',
    'option',
)

import re
from abc import ABC, abstractmethod
from dataclasses import MISSING, field
from datetime import timedelta
from typing import Any, Generic, TypeVar

T = TypeVar('T')

_FLAGS = {'true': True, 'false': False}

DURATION_UNITS = {
    'ms': timedelta(milliseconds=1),
    's': timedelta(seconds=1),
    'm': timedelta(minutes=1),
    'h': timedelta(hours=1),
    'd': timedelta(days=1),
}
DURATION_PATTERN = re.compile(
    r'(\d{1,9}(?:\.\d{1,3})?)\s*(ms|s|m|h|d)', re.ASCII
)
NAME_PATTERN = re.compile('[a-z0-9][a-z0-9._-]{0,62}')


class Option(ABC, Generic[T]):
    """A kind of option; subclasses set ``expected`` and override :meth:`parse`.

    :ivar expected: the allowed values, in words
    """

    expected: str

    @abstractmethod
    def parse(self, text: str) -> T:
        """Parse the text and return its value.

        :raises ValueError: the text is not an allowed value
        """


class Name(Option[str]):
    """A name of a VM, failure domain or region."""

    expected = (
        'a name of at most 63 small letters, digits, dots, hyphens or '
        'underscores'
    )

    def parse(self, text: str) -> str:
        """Return the name."""
        if not NAME_PATTERN.fullmatch(text):
            raise ValueError(text)
        return text


class Flag(Option[bool]):
    """Whether something holds."""

    expected = 'true or false'

    def parse(self, text: str) -> bool:
        """Return the truth value."""
        if text not in _FLAGS:
            raise ValueError(text)
        return _FLAGS[text]


class Integer(Option[int]):
    """An integer between two limits, inclusive."""

    def __init__(self, low: int, high: int) -> None:
        self._low = low
        self._high = high
        self.expected = f'a whole number from {low} to {high}'

    def parse(self, text: str) -> int:
        """Return the number."""
        number = int(text)
        if not self._low <= number <= self._high:
            raise ValueError(text)
        return number


class Number(Option[float]):
    """A number between two limits, inclusive."""

    def __init__(self, low: float, high: float) -> None:
        self._low = low
        self._high = high
        self.expected = f'a number from {low:g} to {high:g}'

    def parse(self, text: str) -> float:
        """Return the number."""
        number = float(text)
        if not self._low <= number <= self._high:
            raise ValueError(text)
        return number


class Duration(Option[timedelta]):
    """A duration with its unit, such as ``250ms``, ``2s`` or ``1h``."""

    def __init__(
        self,
        low: timedelta = timedelta(milliseconds=1),
        high: timedelta = timedelta(days=30),
    ) -> None:
        self._low = low
        self._high = high
        self.expected = (
            f'a duration with unit ms, s, m, h or d from '
            f'{_in_seconds(low)} to {_in_seconds(high)}'
        )

    def parse(self, text: str) -> timedelta:
        """Return the duration."""
        match = DURATION_PATTERN.fullmatch(text)
        if match is None:
            raise ValueError(text)
        duration = float(match[1]) * DURATION_UNITS[match[2]]
        if not self._low <= duration <= self._high:
            raise ValueError(text)
        return duration


class Hex(Option[bytes]):
    """Bytes in hexadecimal.

    :param low: the smallest number of bytes
    """

    def __init__(self, low: int) -> None:
        self._low = low
        self.expected = f'at least {low} bytes in hexadecimal'

    def parse(self, text: str) -> bytes:
        """Return the bytes."""
        key = bytes.fromhex(text)
        if len(key) < self._low:
            raise ValueError(text)
        return key


def option(kind: Option[T], default: Any = MISSING) -> T:
    """Declare a field of a settings section.

    :param kind: parses and describes the values of the option
    :param default: omitted for an option that is required
    """
    declared: T = field(default=default, metadata={'option': kind})
    return declared


def _in_seconds(duration: timedelta) -> str:
    return f'{duration.total_seconds():g}s'
