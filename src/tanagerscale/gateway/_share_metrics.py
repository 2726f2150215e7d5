"""Prometheus metrics of the shares that accounts and priorities get from a decider."""

from __future__ import annotations

from collections.abc import Iterable
from typing import final

from prometheus_client.core import CounterMetricFamily
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from tanagerscale.coordination import Coordinator


@final
class ShareCollector(Collector):
    """Reads the shares from the coordinator of this host when metrics are fetched.

    :param coordinator: The coordinator.
    """

    def __init__(self, *, coordinator: Coordinator) -> None:
        self._coordinator = coordinator

    def describe(self) -> Iterable[Metric]:
        """Return the metrics without values."""
        return self._families()

    def collect(self) -> Iterable[Metric]:
        """Return the metrics with their current values."""
        queued, granted, usage = self._families()
        for priority, waiting in sorted(self._coordinator.queue.waiting_by_priority().items()):
            queued.add_metric([str(priority)], waiting)
        for priority, tokens in sorted(self._coordinator.usage.granted_tokens.items()):
            granted.add_metric([str(priority)], tokens)
        for account, tokens in self._coordinator.usage.largest():
            usage.add_metric([account], tokens)
        return (queued, granted, usage)

    def _families(self) -> tuple[GaugeMetricFamily, CounterMetricFamily, GaugeMetricFamily]:
        return (
            GaugeMetricFamily(
                "tanagerscale_queued_generations",
                "Generations of all hosts that wait at this decider, by priority.",
                labels=["priority"],
            ),
            CounterMetricFamily(
                "tanagerscale_granted_tokens",
                "Prompt tokens for which this decider has assigned engines, by priority.",
                labels=["priority"],
            ),
            GaugeMetricFamily(
                "tanagerscale_account_usage_tokens",
                "Decaying usage of the ten accounts that use most, as this host knows it.",
                labels=["account"],
            ),
        )
