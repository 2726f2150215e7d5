"""Failed tries of a process's start, each with one log line and counted in a metric."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Any
from typing import Final
from typing import final

from prometheus_client.core import CounterMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from tanagerscale.core._log import get_logger

MAX_TRIES_LOGGED_EACH: Final = 100
"""Failed tries in a row that are each logged; of later ones, one in this number is."""

failed_starts: Final[Counter[str]] = Counter()
"""Number of failed tries in this process, by the part that failed to start."""

_log = get_logger(part="start")


def record_failed_start(
    part: str, message: str, *, tries: int, error: BaseException, **fields: Any
) -> None:
    """Count a failed try, and log it.

    :param part: Name of the part that failed to start, for the log and the metric.
    :param message: What failed, and what follows.
    :param tries: Number of failed tries in a row.
    :param error: Cause of the failure.
    :param fields: Further fields of the log line.
    """
    failed_starts[part] += 1
    if tries <= MAX_TRIES_LOGGED_EACH or tries % MAX_TRIES_LOGGED_EACH == 0:
        _log.warning(message, failed=part, tries=tries, reason=str(error), **fields)


@final
class FailedStartCollector(Collector):
    """Reads the number of failed tries in this process when metrics are fetched."""

    def describe(self) -> Iterable[Metric]:
        """Return the metric without values."""
        return (self._make_family(),)

    def collect(self) -> Iterable[Metric]:
        """Return the metric with its current values."""
        family = self._make_family()
        for part, number in failed_starts.items():
            family.add_metric([part], number)
        return (family,)

    def _make_family(self) -> CounterMetricFamily:
        return CounterMetricFamily(
            "tanagerscale_failed_starts",
            "Tries to start a part of the host that failed and were or are repeated.",
            labels=["part"],
        )
