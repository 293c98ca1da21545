from datetime import timedelta
from pathlib import Path

import pytest

from bergamotshed.errors import OptionError
from bergamotshed.settings import load_settings

VALID_SECTIONS = {
    'router': {'name': 'router-1', 'domain': 'a'},
    'callers': {'host': '127.0.0.1'},
    'peers': {'host': '127.0.0.1'},
    'platform': {'log': 'http://127.0.0.1:1', 'vms': 'http://127.0.0.1:2/v1'},
}


def write_settings(path: Path, changes: dict[str, dict[str, str]]) -> str:
    sections = {name: dict(keys) for name, keys in VALID_SECTIONS.items()}
    for name, keys in changes.items():
        sections.setdefault(name, {}).update(keys)
    lines = []
    for name, keys in sections.items():
        lines.append(f'[{name}]')
        lines += [f'{key} = {text}' for key, text in keys.items()]
    path.write_text('\n'.join(lines))
    return str(path)


def test_example_is_valid() -> None:
    example = Path(__file__).parent.parent / 'examples' / 'router.ini'
    assert load_settings(str(example)).router.name == 'router-1'


@pytest.mark.parametrize(
    ('section', 'key', 'text', 'expected'),
    [
        ('control', 'lease_margin', '250ms', timedelta(milliseconds=250)),
        ('control', 'lease_ttl', '2s', timedelta(seconds=2)),
        ('control', 'refresh_every', '1.5h', timedelta(minutes=90)),
        ('callers', 'max_body', '1024', 1024),
        (
            'peers',
            'seeds',
            '10.0.0.1:1, 10.0.0.2:2',
            ('10.0.0.1:1', '10.0.0.2:2'),
        ),
        ('platform', 'log', 'http://10.0.0.1:1/', 'http://10.0.0.1:1'),
        ('security', 'token_key', '00' * 16, bytes(16)),
        ('security', 'token_key', '', b''),
    ],
)
def test_values_are_parsed(
    tmp_path: Path, section: str, key: str, text: str, expected: object
) -> None:
    path = write_settings(tmp_path / 'router.ini', {section: {key: text}})
    assert getattr(getattr(load_settings(path), section), key) == expected


@pytest.mark.parametrize(
    ('section', 'key', 'text', 'allowed'),
    [
        ('router', 'name', 'Router 1', 'small letters'),
        ('router', 'name', '', 'small letters'),
        ('callers', 'host', 'localhost', 'an IP address'),
        ('callers', 'port', '65536', 'from 0 to 65535'),
        ('callers', 'port', 'http', 'from 0 to 65535'),
        ('callers', 'read_timeout', '10', 'unit ms, s, m, h or d'),
        ('callers', 'read_timeout', '0s', 'from 0.001s'),
        ('control', 'lease_ttl', '1s', 'from 2s to'),
        ('callers', 'colour', 'red', 'one key of host, max_body'),
        ('peers', 'seeds', '10.0.0.1', 'ip:port'),
        ('peers', 'seeds', 'a:1', 'ip:port'),
        ('platform', 'log', 'ftp://10.0.0.1', 'http://'),
        ('security', 'token_key', 'xyz', '16 bytes'),
        ('security', 'token_key', '00', '16 bytes'),
        ('weather', 'sun', '1', 'one section of callers'),
    ],
)
def test_errors_name_section_and_allowed_values(
    tmp_path: Path, section: str, key: str, text: str, allowed: str
) -> None:
    path = write_settings(tmp_path / 'router.ini', {section: {key: text}})
    with pytest.raises(OptionError) as raised:
        load_settings(path)
    message = str(raised.value)
    assert message.startswith(f'{path}: [{section}]')
    assert allowed in message
    assert '\n' not in message


@pytest.mark.parametrize(
    'content', [b'name = 1', b'[a]\nx=1\n[a]\n', b'\xff\xfe', b'']
)
def test_files_that_are_not_settings_are_rejected(
    tmp_path: Path, content: bytes
) -> None:
    path = tmp_path / 'router.ini'
    path.write_bytes(content)
    with pytest.raises(OptionError):
        load_settings(str(path))
