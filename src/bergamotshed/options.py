"""
bergamotshed.options
~~~~~~~~~~~~~~~~~~~~

Typed options of the settings file: each kind knows how to read its text and
how to say which values it allows.
"""

__all__ = (
    'Duration',
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

DURATION_UNITS = {
    'ms': timedelta(milliseconds=1),
    's': timedelta(seconds=1),
    'm': timedelta(minutes=1),
    'h': timedelta(hours=1),
    'd': timedelta(days=1),
}
DURATION = re.compile(r'(\d{1,9}(?:\.\d{1,3})?)\s*(ms|s|m|h|d)', re.ASCII)
NAME = re.compile('[a-z0-9][a-z0-9._-]{0,62}')


class Option(ABC, Generic[T]):
    """A kind of option; subclasses set ``expected`` and override one method.

    :ivar expected: the allowed values, in words
    """

    expected: str

    @abstractmethod
    def parse(self, text: str) -> T:
        """Return the value that the text stands for.

        :raises ValueError: the text is not allowed
        """


class Name(Option[str]):
    """A name as the fleet uses it for VMs, domains and regions."""

    expected = (
        'a name of at most 63 small letters, digits, dots, hyphens or '
        'underscores'
    )

    def parse(self, text: str) -> str:
        """Return the name."""
        if not NAME.fullmatch(text):
            raise ValueError(text)
        return text


class Integer(Option[int]):
    """A whole number within limits, both included."""

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
    """A number within limits, both included."""

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
        match = DURATION.fullmatch(text)
        if match is None:
            raise ValueError(text)
        duration = float(match[1]) * DURATION_UNITS[match[2]]
        if not self._low <= duration <= self._high:
            raise ValueError(text)
        return duration


class Hex(Option[bytes]):
    """Bytes in hexadecimal.

    :param low: the least count of bytes
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

    :param default: left out for an option that must be given
    """
    declared: T = field(default=default, metadata={'option': kind})
    return declared


def _in_seconds(duration: timedelta) -> str:
    return f'{duration.total_seconds():g}s'
