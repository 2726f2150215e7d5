"""Straight lines through measured figures."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from statistics import linear_regression

from rich.console import Console
from rich.table import Table


@dataclass(frozen=True, kw_only=True, slots=True)
class Fit:
    """A figure that grows with a size.

    :param name: What is measured, with its unit.
    :param size_name: What the size counts.
    :param sizes: The sizes measured.
    :param values: The figure at each.
    :param target: The size to foretell.
    """

    name: str
    size_name: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    target: int

    @property
    def slope(self) -> float:
        """Growth of the figure for each one more."""
        return linear_regression(self.sizes, self.values).slope

    @property
    def intercept(self) -> float:
        """The figure at size zero, on the fitted line."""
        return linear_regression(self.sizes, self.values).intercept

    @property
    def worst_error(self) -> float:
        """Largest distance of a measured figure from the line."""
        pairs = zip(self.sizes, self.values, strict=True)
        return max(abs(value - self.at(size)) for size, value in pairs)

    def at(self, size: int) -> float:
        """Return the figure that the line gives for a size."""
        return self.intercept + self.slope * size


def fit(
    *,
    name: str,
    size_name: str,
    sizes: Sequence[int],
    values: Sequence[float],
    target: int,
) -> Fit:
    """Return a line through measured figures."""
    return Fit(
        name=name,
        size_name=size_name,
        sizes=tuple(sizes),
        values=tuple(values),
        target=target,
    )


def print_fits(fits: Sequence[Fit], *, title: str, console: Console) -> None:
    """Print the measured figures and what the lines say at the target size."""
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
            f"{each.worst_error:.3g}",
            f"{each.target}: {each.at(each.target):.4g}",
        )
    console.print(table)


def print_rows(
    rows: Sequence[Sequence[str]], *, title: str, headings: Sequence[str], console: Console
) -> None:
    """Print a plain table."""
    table = Table(title=title)
    for heading in headings:
        table.add_column(heading, overflow="fold")
    for row in rows:
        table.add_row(*row)
    console.print(table)


def each_size(sizes: Sequence[int], measure: Callable[[int], float]) -> list[float]:
    """Return a figure measured at each size."""
    return [measure(size) for size in sizes]
