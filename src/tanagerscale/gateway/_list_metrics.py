"""Prometheus metrics of the entries that a host knows from the store."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import final

from prometheus_client.core import CounterMetricFamily
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from tanagerscale.coordination import ListFeed
from tanagerscale.membership import UpstreamGate
from tanagerscale.store import era_of


@final
class ListCollector(Collector):
    """Reads the state of the feeds and of the gate when metrics are fetched.

    :param feeds: The feeds of the host.
    :param gate: Which upstreams are leaving.
    :param lost_watches: Watches of the store that ended without an answer, by their prefix.
    """

    def __init__(
        self, *, feeds: Sequence[ListFeed], gate: UpstreamGate, lost_watches: Mapping[str, int]
    ) -> None:
        self._feeds = feeds
        self._gate = gate
        self._lost_watches = lost_watches

    def describe(self) -> Iterable[Metric]:
        """Return the metrics without values."""
        return self._families()

    def collect(self) -> Iterable[Metric]:
        """Return the metrics with their current values."""
        age, era, ignored, notices, lost_watches = self._families()
        for feed in self._feeds:
            topic = feed.topic.value
            era.add_metric([topic], era_of(feed.revision))
            if feed.age_ms is not None:
                age.add_metric([topic], feed.age_ms)
            for reason, number in feed.ignored.items():
                ignored.add_metric([topic, reason.value], number)
        for label, number in self._gate.ignored_notices.items():
            notices.add_metric([label], number)
        for prefix, number in self._lost_watches.items():
            lost_watches.add_metric([prefix], number)
        return (age, era, ignored, notices, lost_watches)

    def _families(
        self,
    ) -> tuple[
        GaugeMetricFamily,
        GaugeMetricFamily,
        CounterMetricFamily,
        CounterMetricFamily,
        CounterMetricFamily,
    ]:
        return (
            GaugeMetricFamily(
                "tanagerscale_list_age_ms",
                "Time since the store or the source showed that the entries are up to date.",
                labels=["topic"],
            ),
            GaugeMetricFamily(
                "tanagerscale_store_era",
                "Era of the store that the entries are from; each return from a copy begins one.",
                labels=["topic"],
            ),
            CounterMetricFamily(
                "tanagerscale_ignored_entries",
                "Snapshots and changes of entries that were ignored, by the reason.",
                labels=["topic", "reason"],
            ),
            CounterMetricFamily(
                "tanagerscale_ignored_notices",
                "Notices of leaving upstreams that changed nothing, by the reason.",
                labels=["reason"],
            ),
            CounterMetricFamily(
                "tanagerscale_lost_watches",
                "Watches of the store that ended without an answer, by their prefix.",
                labels=["prefix"],
            ),
        )
