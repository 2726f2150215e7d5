"""Prometheus metrics of the exchanges with upstreams, the store and other hosts."""

from __future__ import annotations

from collections.abc import Iterable
from typing import final

from prometheus_client.core import CounterMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from tanagerscale.upstreams import ExchangeLog


@final
class ExchangeCollector(Collector):
    """Reads the counts of exchanges when metrics are fetched.

    :param log: The counts.
    """

    def __init__(self, *, log: ExchangeLog) -> None:
        self._log = log

    def describe(self) -> Iterable[Metric]:
        """Return the metrics without values."""
        return self._families()

    def collect(self) -> Iterable[Metric]:
        """Return the metrics with their current values."""
        begun, answers, returned = self._families()
        for (kind, is_kept), number in self._log.begun.items():
            begun.add_metric([kind.value, "kept" if is_kept else "new"], number)
        for (kind, answer_id, is_taken), number in self._log.answers.items():
            outcome = "taken" if is_taken else "skipped"
            answers.add_metric([kind.value, answer_id.value, outcome], number)
        for is_kept, number in self._log.returned.items():
            returned.add_metric(["kept" if is_kept else "closed"], number)
        return (begun, answers, returned)

    def _families(self) -> tuple[CounterMetricFamily, CounterMetricFamily, CounterMetricFamily]:
        return (
            CounterMetricFamily(
                "tanagerscale_exchanges",
                "Exchanges with other processes, by kind and by whether their connection is new.",
                labels=["kind", "connection"],
            ),
            CounterMetricFamily(
                "tanagerscale_exchange_answers",
                "Answers by kind of exchange, whose id they bear, and what became of them.",
                labels=["kind", "id", "outcome"],
            ),
            CounterMetricFamily(
                "tanagerscale_foreign_answer_connections",
                "Connections after an exchange on which a foreign answer has come.",
                labels=["connection"],
            ),
        )
