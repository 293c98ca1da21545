"""A short run with a fixed seed, and each seed that failed before."""

from pathlib import Path

import pytest

from .runner import SoakSize, run_seed

pytestmark = pytest.mark.processes

SHORT = SoakSize(duration_s=3, routers=2, callers=6)

#: Seeds that failed before, each with the cause.
REGRESSIONS: list[object] = []


@pytest.mark.parametrize('seed', [1001, *REGRESSIONS])
async def test_promises_are_kept(seed: int, tmp_path: Path) -> None:
    result = await run_seed(seed, tmp_path, SHORT)
    assert not result.violations, result
    assert result.served
