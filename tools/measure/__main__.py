"""
tools.measure.__main__
~~~~~~~~~~~~~~~~~~~~~~

``python -m tools.measure [NAME ...]`` prints the named tables, or all.
"""

import sys
import time

from .overload import measure_cost, measure_surge
from .placement import (
    measure_churn,
    measure_curve,
    measure_headroom,
    measure_home_change,
    measure_moves,
    measure_policies,
    measure_strategies,
)

MEASUREMENTS = {
    'policies': measure_policies,
    'routes': measure_strategies,
    'churn': measure_churn,
    'home-change': measure_home_change,
    'moves': measure_moves,
    'curve': measure_curve,
    'headroom': measure_headroom,
    'surge': measure_surge,
    'cost': measure_cost,
}


def main(names: list[str]) -> int:
    """Run the named measurements and return the exit code."""
    unknown = [name for name in names if name not in MEASUREMENTS]
    if unknown:
        print(
            f'unknown measure {unknown[0]}; one of: {", ".join(MEASUREMENTS)}'
        )
        return 2
    started = time.monotonic()
    for name in names or MEASUREMENTS:
        MEASUREMENTS[name]()
    print(f'\n{time.monotonic() - started:.0f} s')
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
