"""
bergamotshed.fleet.option_errors
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Turns the codec's complaints into the one error that operators see, naming
section, key and allowed values.
"""

__all__ = ('option_error',)

import re
from enum import Enum
from typing import Any

from msgspec import inspect, structs

from ..errors import OptionError
from .model import Fleet

ROOT = 'configuration'
LOCATION = re.compile(r'^(?P<text>.*) - at `\$(?P<path>.*)`$', re.DOTALL)
STEP = re.compile(r'\.(\w+)|\[(\d+|\.\.\.)\]')
UNKNOWN_FIELD = re.compile('Object contains unknown field `(.+)`')
MISSING_FIELD = re.compile('Object missing required field `(.+)`')
KINDS = {
    'str': 'a text',
    'int': 'a whole number',
    'float': 'a number',
    'array': 'a list',
    'object': 'an object',
    'bool': 'true or false',
}
NAME_RULE = 'a name of small letters, digits, dots, hyphens or underscores'


def option_error(file: str, message: str, parent: str = '') -> OptionError:
    """Return the error for a message of the codec.

    :param file: the file that was read
    :param message: the codec's text, with its path if there is one
    :param parent: path in the configuration of the part that was decoded
    """
    located = LOCATION.match(message)
    text = located['text'] if located else message
    path = located['path'] if located else ''
    within = f'.{parent}{path}' if parent else path
    steps = [name or index for name, index in STEP.findall(within)]
    return _error_at(file, text, steps)


def _error_at(file: str, text: str, steps: list[str]) -> OptionError:
    unknown = UNKNOWN_FIELD.fullmatch(text)
    if unknown is not None:
        allowed = ', '.join(_fields_at(steps))
        return OptionError(
            file, _section(steps), unknown[1], f'one key of {allowed}'
        )
    missing = MISSING_FIELD.fullmatch(text)
    if missing is not None:
        steps = [*steps, missing[1]]
        return OptionError(
            file, _section(steps[:-1]), missing[1], _allowed_at(steps)
        )
    if not steps:
        return OptionError(file, ROOT, '*', _plain(text))
    return OptionError(
        file, _section(steps[:-1]), steps[-1], _plain(text, steps)
    )


def _section(steps: list[str]) -> str:
    path = ''.join(
        f'[{step}]' if step.isdigit() or step == '...' else f'.{step}'
        for step in steps
    )
    return path.lstrip('.') or ROOT


def _plain(text: str, steps: list[str] | None = None) -> str:
    if steps:
        got = re.search('got `(.+)`', text)
        found = f', got {KINDS.get(got[1], got[1])}' if got else ''
        allowed = _allowed_at(steps)
        if allowed:
            return f'{allowed}{found}'
    return ' '.join(text.removeprefix('Expected ').split())


def _type_at(steps: list[str]) -> inspect.Type | None:
    current: inspect.Type | None = inspect.type_info(Fleet)
    for step in steps:
        current = _child(current, step)
    return current


def _child(parent: Any, step: str) -> inspect.Type | None:
    if isinstance(parent, inspect.StructType):
        return next(
            (part.type for part in parent.fields if part.name == step), None
        )
    return getattr(parent, 'item_type', None)


def _fields_at(steps: list[str]) -> tuple[str, ...]:
    kind = _type_at(steps)
    if not isinstance(kind, inspect.StructType):
        return ()
    return tuple(part.name for part in structs.fields(kind.cls))


def _allowed_at(steps: list[str]) -> str:
    kind = _type_at(steps)
    match kind:
        case inspect.EnumType():
            return f'one of {", ".join(_enum_values(kind.cls))}'
        case inspect.StrType():
            return NAME_RULE if kind.pattern else 'a text'
        case inspect.IntType() | inspect.FloatType():
            return f'a {_number_word(kind)}{_limits(kind)}'
        case inspect.BoolType():
            return 'true or false'
        case inspect.StructType():
            return f'an object with {", ".join(_fields_at(steps))}'
    return 'a list'


def _number_word(kind: inspect.IntType | inspect.FloatType) -> str:
    return 'whole number' if isinstance(kind, inspect.IntType) else 'number'


def _limits(kind: inspect.IntType | inspect.FloatType) -> str:
    low = ''
    if kind.ge is not None:
        low = f' from {kind.ge}'
    elif kind.gt is not None:
        low = f' above {kind.gt}'
    return low if kind.le is None else f'{low} to {kind.le}'


def _enum_values(kind: type[Enum]) -> list[str]:
    return [str(member.value) for member in kind]
