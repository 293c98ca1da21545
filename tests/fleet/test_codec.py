import json
from typing import Any

import pytest

from bergamotshed.errors import OptionError
from bergamotshed.fleet.codec import decode_fleet, encode_fleet, format_fleet
from bergamotshed.fleet.delta import apply_delta, compute_delta, sort_fleet

MODEL = {'name': 'm', 'version': 'v1'}
ENGINES = {'name': 'drafting', 'models': [MODEL]}
PLAIN = {'name': 'slots', 'kind': 'plain', 'at_most_once': ['book']}
ORGANISATION = {'name': 'quito', 'services': ['drafting']}


def document(**changes: Any) -> bytes:
    defaults = {'services': [ENGINES, PLAIN], 'organisations': [ORGANISATION]}
    return json.dumps({**defaults, **changes}).encode()


def services(*parts: dict[str, Any]) -> bytes:
    return document(services=list(parts), organisations=[])


def test_encoding_and_decoding_round_trip() -> None:
    fleet = decode_fleet(document(), 'f')
    assert decode_fleet(encode_fleet(fleet), 'f') == fleet
    assert decode_fleet(format_fleet(fleet).encode(), 'f') == fleet


@pytest.mark.parametrize(
    ('text', 'section', 'key', 'allowed'),
    [
        (b'', 'configuration', '*', 'truncated'),
        (b'{"a"', 'configuration', '*', 'truncated'),
        (b'\xff', 'configuration', '*', 'malformed'),
        (b'[]', 'configuration', '*', 'object'),
        (
            b'{"services": "\xff"}',
            'configuration',
            'services',
            'a list, got a text',
        ),
        (document(colour=1), 'configuration', 'colour', 'one key of services'),
        (document(services=1), 'configuration', 'services', 'a list'),
        (
            document(entries_lifetime=0),
            'configuration',
            'entries_lifetime',
            'a whole number from 1 to 3600',
        ),
        (
            services({**ENGINES, 'color': 1}),
            'services[0]',
            'color',
            'one key of name, kind, models',
        ),
        (
            services({'models': []}),
            'services[0]',
            'name',
            'a name of small letters',
        ),
        (
            services({**ENGINES, 'name': 'A b'}),
            'services[0]',
            'name',
            'a name of small letters',
        ),
        (
            services({**ENGINES, 'kind': 'x'}),
            'services[0]',
            'kind',
            'one of engine, plain',
        ),
        (
            services({**ENGINES, 'load_bound': 0.5}),
            'services[0]',
            'load_bound',
            'a number from 1 to 10',
        ),
        (
            services({**ENGINES, 'load_bound': '2'}),
            'services[0]',
            'load_bound',
            'a number from 1 to 10, got a text',
        ),
        (
            services({**ENGINES, 'slots': 1.5}),
            'services[0]',
            'slots',
            'a whole number from 1',
        ),
        (
            services({**ENGINES, 'fencing': 'no'}),
            'services[0]',
            'fencing',
            'true or false',
        ),
        (
            services({**ENGINES, 'models': [{'name': 'm'}]}),
            'services[0].models[0]',
            'version',
            'a name',
        ),
        (
            document(organisations=[{'name': 'q'}]),
            'organisations[0]',
            'services',
            'a list',
        ),
        (
            document(organisations=[{**ORGANISATION, 'share': 0}]),
            'organisations[0]',
            'share',
            'a number above 0 to 1000',
        ),
        (
            services(ENGINES, ENGINES),
            'services[1]',
            'name',
            "no second 'drafting'",
        ),
        (
            document(organisations=[ORGANISATION, ORGANISATION]),
            'organisations[1]',
            'name',
            "no second 'quito'",
        ),
        (
            document(organisations=[{**ORGANISATION, 'services': ['x']}]),
            'organisations[0]',
            'services',
            "drafting, slots; got 'x'",
        ),
        (
            document(
                organisations=[{**ORGANISATION, 'services': ['slots', 'slots']}]
            ),
            'organisations[0]',
            'services',
            'only once',
        ),
        (
            services(ENGINES, {**ENGINES, 'name': 'b'}),
            'services[1]',
            'models',
            "live in 'drafting'",
        ),
        (services({'name': 'a'}), 'services[0]', 'models', 'one model or more'),
        (
            services({**PLAIN, 'models': [MODEL]}),
            'services[0]',
            'models',
            'none for kind plain',
        ),
        (
            services({**ENGINES, 'at_most_once': ['x']}),
            'services[0]',
            'at_most_once',
            'none for kind engine',
        ),
        (
            services({**PLAIN, 'at_most_once': ['x', 'x']}),
            'services[0]',
            'at_most_once',
            'only once',
        ),
        (
            services({**ENGINES, 'models': [MODEL, MODEL]}),
            'services[0]',
            'models',
            'only once',
        ),
        (
            services(
                {**ENGINES, 'models': [{**MODEL, 'adapters': ['a', 'a']}]}
            ),
            'services[0].models[0]',
            'adapters',
            'only once',
        ),
    ],
)
def test_errors_name_section_key_and_allowed_values(
    text: bytes, section: str, key: str, allowed: str
) -> None:
    with pytest.raises(OptionError) as caught:
        decode_fleet(text, 'fleet.json')
    message = str(caught.value)
    assert message.startswith(f'fleet.json: [{section}] {key}: expected ')
    assert allowed in message
    assert '\n' not in message


def test_delta_turns_its_base_into_the_changed_configuration() -> None:
    base = sort_fleet(decode_fleet(document(), 'f'))
    for changed in (
        document(entries_lifetime=5),
        document(services=[PLAIN], organisations=[]),
        document(organisations=[{**ORGANISATION, 'share': 3}]),
        document(organisations=[ORGANISATION, {**ORGANISATION, 'name': 'a'}]),
    ):
        expected = sort_fleet(decode_fleet(changed, 'f'))
        assert apply_delta(base, compute_delta(base, expected)) == expected
