"""
tests.soak.__main__
~~~~~~~~~~~~~~~~~~~

Runs many seeds by hand: ``python -m tests.soak --seeds 50 --first 1``.
"""

import argparse
import asyncio
import signal
import sys
import tempfile
from pathlib import Path

from .runner import SeedResult, SoakSize, run_seed


def main() -> int:
    """Run the seeds and return 1 if any of them broke a promise."""
    parser = argparse.ArgumentParser(prog='tests.soak')
    parser.add_argument('--seeds', type=int, default=10)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--duration', type=float, default=8)
    parser.add_argument('--routers', type=int, default=3)
    parser.add_argument(
        '--logs', default='', help='directory in which to keep the logs'
    )
    parser.add_argument(
        '--also',
        action='append',
        default=[],
        metavar='FAULT',
        help='a fault that each seed has in addition; may be repeated',
    )
    options = parser.parse_args()
    # An interrupt unwinds the run, which ends the processes that it started.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    size = SoakSize(
        duration_s=options.duration,
        routers=options.routers,
        also=tuple(options.also),
    )
    failed_seeds = 0
    for seed in range(options.first, options.first + options.seeds):
        with tempfile.TemporaryDirectory() as temporary_directory:
            directory = Path(options.logs or temporary_directory) / str(seed)
            directory.mkdir(parents=True, exist_ok=True)
            result = asyncio.run(run_seed(seed, directory, size))
        _report(result)
        failed_seeds += bool(result.violations)
    print(f'{options.seeds} seeds, {failed_seeds} with a broken promise')
    return int(failed_seeds > 0)


def _report(result: SeedResult) -> None:
    verdict = 'BROKEN' if result.violations else 'kept'
    print(
        f'seed {result.seed}: {verdict}; {result.served} of {result.sent} '
        f'served; {", ".join(result.faults)}',
        flush=True,
    )
    for violation in result.violations[:10]:
        print(f'  {violation}', flush=True)


if __name__ == '__main__':
    sys.exit(main())
