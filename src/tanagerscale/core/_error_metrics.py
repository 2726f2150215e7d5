"""Prometheus metric of unexpected errors."""

from __future__ import annotations

from collections.abc import Iterable
from typing import final

from prometheus_client.core import CounterMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from tanagerscale.core._containment import unexpected_errors


@final
class UnexpectedErrorCollector(Collector):
    """Reads the number of unexpected errors in this process when metrics are fetched."""

    def describe(self) -> Iterable[Metric]:
        """Return the metric without values."""
        return (self._make_family(),)

    def collect(self) -> Iterable[Metric]:
        """Return the metric with its current values."""
        family = self._make_family()
        for component, number in unexpected_errors.items():
            family.add_metric([component], number)
        return (family,)

    def _make_family(self) -> CounterMetricFamily:
        return CounterMetricFamily(
            "tanagerscale_unexpected_errors",
            "Errors of single items that a loop did not expect and went on after.",
            labels=["component"],
        )
