"""Lets tests that are listed in KNOWN-RED.txt fail; all others must pass."""

from pathlib import Path

import pytest

LIST = Path(__file__).parent.parent / 'KNOWN-RED.txt'
ENTRY = 'test: '


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests; what becomes of them is printed."""
    listed = {
        line.removeprefix(ENTRY).strip()
        for line in LIST.read_text().splitlines()
        if line.startswith(ENTRY)
    }
    for item in items:
        if item.nodeid in listed:
            item.add_marker(
                pytest.mark.xfail(reason='KNOWN-RED.txt', strict=False)
            )
