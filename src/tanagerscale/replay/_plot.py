"""Plots the frontier of stall time against preemptions."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

from tanagerscale.replay._report import ReplayReport
from tanagerscale.replay._report import compute_mean

MIN_PLOTTED_VALUE = 0.1
"""Smaller values are drawn at this value, because the axes are logarithmic."""


def plot_frontier(
    *,
    reports: Sequence[ReplayReport],
    frontier: Sequence[Sequence[ReplayReport]],
    path: Path,
) -> None:
    """Plot the policies as points and the default policy's ``deviations`` sweep as a line.

    :param reports: Reports of the policies.
    :param frontier: Reports of the default policy, grouped by value of ``deviations``.
    :param path: Image file to write.
    """
    # Imported here because matplotlib is an optional dependency that hosts do not install.
    from matplotlib.figure import Figure

    figure = Figure(figsize=(8, 5))
    axes = figure.add_subplot()
    for policy in dict.fromkeys(report.policy for report in reports):
        x, y = _point([item for item in reports if item.policy == policy])
        axes.scatter([x], [y])
        axes.annotate(policy, (x, y), textcoords="offset points", xytext=(5, 4), fontsize=8)
    points = [_point(group) for group in frontier]
    axes.plot([x for x, _ in points], [y for _, y in points], "k.-", label="owner, by deviations")
    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_xlabel("stall time, s")
    axes.set_ylabel("preemptions")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)


def _point(reports: Sequence[ReplayReport]) -> tuple[float, float]:
    stall = max(compute_mean(reports, "stall_s"), MIN_PLOTTED_VALUE)
    return stall, max(compute_mean(reports, "preemptions"), MIN_PLOTTED_VALUE)
