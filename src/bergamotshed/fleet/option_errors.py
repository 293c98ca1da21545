"""
bergamotshed.fleet.option_errors
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Converts error messages of the JSON decoder to errors for operators, which
name the section, the key and the allowed values.
"""

__all__ = ('option_error',)

import re
from enum import Enum
from typing import Any

from msgspec import inspect, structs

from ..errors import OptionError
from .model import Fleet

ROOT = 'configuration'
MESSAGE_WITH_PATH = re.compile(
    r'^(?P<text>.*) - at `\$(?P<path>.*)`$', re.DOTALL
)
PATH_STEP = re.compile(r'\.(\w+)|\[(\d+|\.\.\.)\]')
UNKNOWN_FIELD = re.compile('Object contains unknown field `(.+)`')
MISSING_FIELD = re.compile('Object missing required field `(.+)`')
TYPE_TEXTS = {
    'str': 'a text',
    'int': 'a whole number',
    'float': 'a number',
    'array': 'a list',
    'object': 'an object',
    'bool': 'true or false',
}
NAME_TEXT = 'a name of small letters, digits, dots, hyphens or underscores'


def option_error(file: str, message: str, parent: str = '') -> OptionError:
    """Return the error for a message of the JSON decoder.

    :param file: the file that was read
    :param message: text of the decoder, with its path if there is one
    :param parent: path within the configuration to the decoded part
    """
    match = MESSAGE_WITH_PATH.match(message)
    text = match['text'] if match else message
    path = match['path'] if match else ''
    full_path = f'.{parent}{path}' if parent else path
    steps = [name or index for name, index in PATH_STEP.findall(full_path)]
    return _option_error_at(file, text, steps)


def _option_error_at(file: str, text: str, steps: list[str]) -> OptionError:
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
        return OptionError(file, ROOT, '*', _expected_text(text))
    return OptionError(
        file, _section(steps[:-1]), steps[-1], _expected_text(text, steps)
    )


def _section(steps: list[str]) -> str:
    path = ''.join(
        f'[{step}]' if step.isdigit() or step == '...' else f'.{step}'
        for step in steps
    )
    return path.lstrip('.') or ROOT


def _expected_text(text: str, steps: list[str] | None = None) -> str:
    if steps:
        got = re.search('got `(.+)`', text)
        got_text = f', got {TYPE_TEXTS.get(got[1], got[1])}' if got else ''
        allowed = _allowed_at(steps)
        if allowed:
            return f'{allowed}{got_text}'
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
    node_type = _type_at(steps)
    if not isinstance(node_type, inspect.StructType):
        return ()
    return tuple(part.name for part in structs.fields(node_type.cls))


def _allowed_at(steps: list[str]) -> str:
    node_type = _type_at(steps)
    match node_type:
        case inspect.EnumType():
            return f'one of {", ".join(_enum_values(node_type.cls))}'
        case inspect.StrType():
            return NAME_TEXT if node_type.pattern else 'a text'
        case inspect.IntType() | inspect.FloatType():
            return f'a {_number_text(node_type)}{_range_text(node_type)}'
        case inspect.BoolType():
            return 'true or false'
        case inspect.StructType():
            return f'an object with {", ".join(_fields_at(steps))}'
    return 'a list'


def _number_text(node_type: inspect.IntType | inspect.FloatType) -> str:
    return (
        'whole number' if isinstance(node_type, inspect.IntType) else 'number'
    )


def _range_text(node_type: inspect.IntType | inspect.FloatType) -> str:
    text = ''
    if node_type.ge is not None:
        text = f' from {node_type.ge}'
    elif node_type.gt is not None:
        text = f' above {node_type.gt}'
    return text if node_type.le is None else f'{text} to {node_type.le}'


def _enum_values(node_type: type[Enum]) -> list[str]:
    return [str(member.value) for member in node_type]
