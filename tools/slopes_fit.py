"""Linear fits of measurements."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from statistics import linear_regression

from rich.console import Console
from rich.table import Table


@dataclass(frozen=True, kw_only=True, slots=True)
class Fit:
    """A linear fit of a quantity over a size.

    :param name: Name of the quantity, with its unit.
    :param size_name: Name of one unit of the size.
    :param sizes: Sizes at which the quantity was measured.
    :param values: Measured value at each size.
    :param target: Size to extrapolate to.
    """

    name: str
    size_name: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    target: int

    @property
    def slope(self) -> float:
        """Growth of the quantity per unit of size."""
        return linear_regression(self.sizes, self.values).slope

    @property
    def intercept(self) -> float:
        """Value of the fitted line at size zero."""
        return linear_regression(self.sizes, self.values).intercept

    @property
    def max_residual(self) -> float:
        """Largest absolute residual."""
        pairs = zip(self.sizes, self.values, strict=True)
        return max(abs(value - self.predict(size)) for size, value in pairs)

    def predict(self, size: int) -> float:
        """Return the value of the fitted line at a size."""
        return self.intercept + self.slope * size


def fit(
    *,
    name: str,
    size_name: str,
    sizes: Sequence[int],
    values: Sequence[float],
    target: int,
) -> Fit:
    """Return a linear fit of measured values."""
    return Fit(
        name=name,
        size_name=size_name,
        sizes=tuple(sizes),
        values=tuple(values),
        target=target,
    )


def print_fits(fits: Sequence[Fit], *, title: str, console: Console) -> None:
    """Print the measured values, the fits and the extrapolation to the target size."""
    table = Table(title=title)
    for heading in (
        "figure",
        "per",
        "measured (size: figure)",
        "slope",
        "at 0",
        "off by",
        "target",
    ):
        table.add_column(heading, overflow="fold")
    for each in fits:
        measured = ", ".join(
            f"{size}: {value:.4g}" for size, value in zip(each.sizes, each.values, strict=True)
        )
        table.add_row(
            each.name,
            each.size_name,
            measured,
            f"{each.slope:.4g}",
            f"{each.intercept:.4g}",
            f"{each.max_residual:.3g}",
            f"{each.target}: {each.predict(each.target):.4g}",
        )
    console.print(table)


def print_rows(
    rows: Sequence[Sequence[str]], *, title: str, headings: Sequence[str], console: Console
) -> None:
    """Print a table."""
    table = Table(title=title)
    for heading in headings:
        table.add_column(heading, overflow="fold")
    for row in rows:
        table.add_row(*row)
    console.print(table)


def measure_sizes(sizes: Sequence[int], measure: Callable[[int], float]) -> list[float]:
    """Return the value measured at each size."""
    return [measure(size) for size in sizes]
