"""
bergamotshed.decoding
~~~~~~~~~~~~~~~~~~~~~

What decoders of data from other processes have in common.
"""

__all__ = (
    'DECODE_ERRORS',
    'MAX_NUMBER_DIGITS',
    'parse_amount',
    'parse_number',
    'parse_numbers',
)

from msgspec import MsgspecError

#: What decoding malformed bytes raises. Deeply nested values, also of unknown
#: fields, exceed the recursion limit; numbers may fit no duration.
DECODE_ERRORS = (
    MsgspecError,
    UnicodeDecodeError,
    RecursionError,
    OverflowError,
)

#: Digits of the largest decimal number that is read; more fit no 64-bit
#: integer, and ``int`` refuses thousands of them.
MAX_NUMBER_DIGITS = 18


def parse_number(text: str) -> int | None:
    """Return a decimal number; ``None`` if it is malformed or too large."""
    is_number = text.isascii() and text.isdecimal()
    return int(text) if is_number and len(text) <= MAX_NUMBER_DIGITS else None


def parse_numbers(text: str) -> tuple[int, ...]:
    """Return comma-separated decimal numbers; none if one is malformed."""
    numbers = [parse_number(part.strip()) for part in text.split(',')]
    valid = tuple(number for number in numbers if number is not None)
    return valid if len(valid) == len(numbers) else ()


def parse_amount(value: bytes) -> float | None:
    """Return a finite number of zero or more; ``None`` if it is none."""
    try:
        amount = float(value)
    except ValueError:
        return None
    return amount if 0 <= amount < float('inf') else None
