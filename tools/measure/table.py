"""
tools.measure.table
~~~~~~~~~~~~~~~~~~~

Prints aligned tables.
"""

__all__ = ('Cell', 'Row', 'print_table')

from collections.abc import Sequence

Cell = str | int | float
Row = tuple[Cell, ...]


def print_table(
    title: str, columns: Sequence[str], rows: Sequence[Row]
) -> None:
    """Print a titled table; numbers are rounded to three places."""
    lines = [tuple(columns)]
    lines.extend(tuple(_format_cell(cell) for cell in row) for row in rows)
    widths = [
        max(map(len, cells_of_column))
        for cells_of_column in zip(*lines, strict=True)
    ]
    print(f'\n{title}')
    for line in lines:
        cells = zip(line, widths, strict=True)
        print('  '.join(cell.rjust(width) for cell, width in cells).rstrip())


def _format_cell(cell: Cell) -> str:
    return f'{cell:.3f}' if isinstance(cell, float) else str(cell)
