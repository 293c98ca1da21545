"""
tools.capacity.linear_fit
~~~~~~~~~~~~~~~~~~~~~~~~~

Least-squares fits through measured points.
"""

__all__ = ('LinearFit', 'Series')

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LinearFit:
    """A least-squares line.

    :ivar max_residual: largest residual as a fraction of the largest value
    """

    slope: float
    intercept: float
    max_residual: float

    @classmethod
    def of(cls, sizes: Sequence[float], values: Sequence[float]) -> 'LinearFit':
        """Fit a line to the values."""
        count = len(sizes)
        mean_size = sum(sizes) / count
        mean_value = sum(values) / count
        size_squares = sum((size - mean_size) ** 2 for size in sizes)
        products = sum(
            (size - mean_size) * (value - mean_value)
            for size, value in zip(sizes, values, strict=True)
        )
        slope = products / size_squares
        intercept = mean_value - slope * mean_size
        residuals = (
            abs(value - slope * size - intercept)
            for size, value in zip(sizes, values, strict=True)
        )
        max_value = max(map(abs, values)) or 1
        return cls(slope, intercept, max(residuals) / max_value)


@dataclass(frozen=True, slots=True)
class Series:
    """One quantity, measured at several sizes of one variable."""

    quantity: str
    unit: str
    variable: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]

    @property
    def fit(self) -> LinearFit:
        """Return the fitted line."""
        return LinearFit.of(self.sizes, self.values)

    def format_row(self) -> str:
        """Return a row of the printed table."""
        fit = self.fit
        points = ' '.join(
            f'{size:g}:{value:.4g}'
            for size, value in zip(self.sizes, self.values, strict=True)
        )
        return (
            f'{self.quantity} [{self.unit}] by {self.variable}: '
            f'{fit.slope:.4g} each + {fit.intercept:.4g}, '
            f'residual {fit.max_residual:.0%} ({points})'
        )
