"""Only the platform package knows the platform's names; it decides nothing."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
PACKAGE = ROOT / 'src' / 'bergamotshed'
FOLDER = PACKAGE / 'platform'
NAMES = re.compile(
    r'Bergamotshed-[A-Z]|bergamotshed-[a-z]+-[a-z]|BERGAMOTSHED_BOOT|'
    r'Store-Era|Server-(Limit|Brittle)|\bb.resumes\b|keyed\.(op|servers|status|routers|suspects)|'
    r'/log-[a-z]+|\bkv-[a-z]+|'
    r'\btenants?\b|max_kb|\bwait_ms|first_offset|path_prefix.:|api_keys',
    re.IGNORECASE,
)
#: The modules of the package, which hold names, formats and calls only; a new
#: module must be added here.
MODULES = {
    '__init__.py',
    'configuration.py',
    'headers.py',
    'instances.py',
    'names.py',
    'store.py',
}
MAX_LINES = 800


def other_modules() -> list[Path]:
    return sorted(
        path for path in PACKAGE.rglob('*.py') if FOLDER not in path.parents
    )


@pytest.mark.parametrize('path', other_modules(), ids=lambda path: path.stem)
def test_other_modules_use_no_platform_name(path: Path) -> None:
    assert not NAMES.findall(path.read_text())


def test_the_package_stays_small() -> None:
    modules = {path.name for path in FOLDER.glob('*.py')}
    assert modules == MODULES
    lines = sum(
        len((FOLDER / name).read_text().splitlines()) for name in modules
    )
    assert lines <= MAX_LINES


@pytest.mark.parametrize('name', sorted(MODULES))
def test_modules_hold_no_timing_randomness_or_logging(name: str) -> None:
    text = (FOLDER / name).read_text()
    assert not re.search(r'\b(sleep|random|clock|log_message)\b', text)
