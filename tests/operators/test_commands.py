from pathlib import Path

import pytest

from bergamotshed.operators.commands import COMMANDS, main

EXAMPLES = Path(__file__).parent.parent.parent / 'examples'
SETTINGS = """[router]
name = r1
domain = a
[callers]
host = 127.0.0.1
port = no
[peers]
host = 127.0.0.1
[platform]
log = http://127.0.0.1:1
vms = http://127.0.0.1:1
"""
FILES = {
    'bad.ini': SETTINGS,
    'bad.json': '{"services": [{"name": "a", "kind": "x"}]}',
    'good.json': '{}',
    'bad.py': 'def',
    'fleet.py': (
        'from bergamotshed.operators.library import describe, model\n'
        'describe().service("a", models=[model("m", "v 1")])\n'
    ),
}


@pytest.mark.parametrize(
    ('line', 'code', 'error_part'),
    [
        ('', 2, 'a command is needed'),
        (
            'fly',
            2,
            "unknown command 'fly': expected one of router, gateway, print",
        ),
        ('router', 2, 'option --settings is needed'),
        ('router --settings=none.ini', 2, 'none.ini: [*] *: expected'),
        (
            'router --settings=bad.ini',
            2,
            'bad.ini: [callers] port: expected a whole number from 0 to 65535',
        ),
        ('router --colour=red', 2, 'colour'),
        ('router more --settings=bad.ini', 2, 'no argument'),
        ('validate', 2, 'one configuration FILE is needed'),
        ('validate a b', 2, 'one configuration FILE is needed'),
        ('validate none.json', 2, 'none.json: [*] *: expected a readable file'),
        (
            'validate bad.json',
            2,
            'bad.json: [services[0]] kind: expected one of engine, plain',
        ),
        ('check good.json', 0, ''),
        ('print bad.py', 2, 'a readable Python file'),
        ('print none.py', 2, 'none.py'),
        ('print fleet.py', 2, 'version: expected a name of small letters'),
        ('publish good.json --base=0', 2, 'option --log is needed'),
        (
            'publish good.json --base=x --log=http://127.0.0.1:1',
            2,
            '--base: expected a version number',
        ),
        (
            'publish good.json --base=-1 --log=http://127.0.0.1:1',
            1,
            'log http://127.0.0.1:1',
        ),
        ('status', 2, 'option --router is needed'),
        ('state --router=127.0.0.1:1', 1, 'no answer from 127.0.0.1:1'),
        ('explain --router=127.0.0.1:1', 2, 'one of --request and --engine'),
        (
            'explain --router=127.0.0.1:1 --request=a --engine=b',
            2,
            'one of --request and --engine',
        ),
        ('why --router=127.0.0.1:1 --request=a', 1, 'no answer'),
    ],
)
def test_failure_sets_exit_code_and_prints_one_line(
    line: str,
    code: int,
    error_part: str,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    for name, text in FILES.items():
        (tmp_path / name).write_text(text)
    monkeypatch.chdir(tmp_path)
    assert main(['bergamotshed', *line.split()]) == code
    error_output = capsys.readouterr().err
    assert error_part in error_output
    assert error_output.count('\n') == (1 if code else 0)


@pytest.mark.parametrize('name', ['cargas_andinas', 'fournaise_connectee'])
def test_printed_examples_are_valid(
    name: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(['bergamotshed', 'print', str(EXAMPLES / f'{name}.py')]) == 0
    printed = tmp_path / 'fleet.json'
    printed.write_text(capsys.readouterr().out)
    assert main(['bergamotshed', 'validate', str(printed)]) == 0
    assert '10 organisations' in capsys.readouterr().out


def test_help_names_every_command(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert main(['bergamotshed', 'help']) == 0
    usage = capsys.readouterr().out
    assert all(command.name in usage for command in COMMANDS)
