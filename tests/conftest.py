"""Marks the tests that are listed in KNOWN-RED.txt as expected failures."""

from pathlib import Path

import pytest

KNOWN_RED_FILE = Path(__file__).parent.parent / 'KNOWN-RED.txt'
TEST_PREFIX = 'test: '


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests with a non-strict xfail."""
    listed = {
        line.removeprefix(TEST_PREFIX).strip()
        for line in KNOWN_RED_FILE.read_text().splitlines()
        if line.startswith(TEST_PREFIX)
    }
    for item in items:
        if item.nodeid in listed:
            item.add_marker(
                pytest.mark.xfail(reason='KNOWN-RED.txt', strict=False)
            )
