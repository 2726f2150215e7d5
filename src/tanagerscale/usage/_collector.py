"""Prometheus collector that reads the host's counters when it is scraped."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import final

from msgspec import Struct
from prometheus_client.core import CounterMetricFamily
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.core import Metric
from prometheus_client.registry import Collector

from tanagerscale.usage._meter import UsageMeter

PREFIX = "tanagerscale"


class HostGauges(Struct, frozen=True, kw_only=True):
    """Current state of a host.

    :param running: Number of running requests.
    :param revision: Revision of the declarations in force.
    :param live_hosts: Number of other hosts that are connected.
    :param closed_upstreams: Number of engines that accept no new work.
    :param peer_sent_bytes: Bytes sent to other hosts since the host started.
    :param peer_received_bytes: Bytes received from other hosts since the host started.
    """

    running: int
    revision: int
    live_hosts: int
    closed_upstreams: int
    peer_sent_bytes: int
    peer_received_bytes: int


@final
class HostCollector(Collector):
    """Converts the usage meter and the gauges to metrics; label values come from small fixed sets.

    :param meter: Usage meter of the host.
    :param gauges: Returns the current state of the host.
    """

    def __init__(self, *, meter: UsageMeter, gauges: Callable[[], HostGauges]) -> None:
        self._meter = meter
        self._gauges = gauges

    def collect(self) -> Iterable[Metric]:
        """Yield all metrics."""
        yield from self._collect_counters()
        yield from self._collect_latencies()
        yield from self._collect_gauges()

    def _collect_counters(self) -> Iterator[Metric]:
        counters = self._meter.counters
        requests = CounterMetricFamily(
            f"{PREFIX}_requests", "Requests that ended, by outcome.", labels=["outcome"]
        )
        for outcome, count in counters.outcomes.items():
            requests.add_metric([outcome], count)
        yield requests
        attempts = CounterMetricFamily(
            f"{PREFIX}_attempts", "Attempts on engines, by their end.", labels=["end"]
        )
        for end, count in counters.attempt_ends.items():
            attempts.add_metric([end], count)
        yield attempts
        summary = self._meter.table.summary()
        tokens = CounterMetricFamily(
            f"{PREFIX}_tokens", "Tokens, by what became of them.", labels=["use"]
        )
        tokens.add_metric(["useful"], summary.useful_tokens)
        tokens.add_metric(["repeated"], summary.recomputed_tokens)
        tokens.add_metric(["wasted"], summary.wasted_tokens)
        yield tokens
        yield CounterMetricFamily(
            f"{PREFIX}_stall_seconds", "Wait beyond the objectives.", value=summary.stall_s
        )
        yield CounterMetricFamily(
            f"{PREFIX}_engine_seconds",
            "Time of attempts on engines.",
            value=self._meter.table.engine_ms / 1000,
        )

    def _collect_latencies(self) -> Iterator[Metric]:
        table = self._meter.table
        for name, text, histogram in (
            ("token_gap", "Time between tokens.", table.gaps),
            ("first_token", "Wait for the first token.", table.first_tokens),
        ):
            family = GaugeMetricFamily(f"{PREFIX}_{name}_milliseconds", text, labels=["quantile"])
            for quantile in (0.5, 0.95, 0.99, 0.999):
                family.add_metric([str(quantile)], histogram.quantile(quantile))
            yield family

    def _collect_gauges(self) -> Iterator[Metric]:
        gauges = self._gauges()
        for name, text, value in (
            ("requests_running", "Requests inside.", gauges.running),
            ("revision", "Revision of the declarations in force.", gauges.revision),
            ("live_hosts", "Other hosts connected.", gauges.live_hosts),
            ("closed_upstreams", "Engines that take no new work.", gauges.closed_upstreams),
        ):
            yield GaugeMetricFamily(f"{PREFIX}_{name}", text, value=value)
        peer_bytes = CounterMetricFamily(
            f"{PREFIX}_peer_bytes", "Bytes between hosts.", labels=["direction"]
        )
        peer_bytes.add_metric(["sent"], gauges.peer_sent_bytes)
        peer_bytes.add_metric(["received"], gauges.peer_received_bytes)
        yield peer_bytes
