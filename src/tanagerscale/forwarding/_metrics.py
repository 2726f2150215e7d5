"""Prometheus metrics of forwarding."""

from __future__ import annotations

from typing import Final
from typing import final

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram

LATENCY_BUCKETS_MS: Final = (5, 10, 20, 50, 100, 200, 400, 800, 1500, 3000, 6000, 12000, 40000)
"""Bucket bounds are dense around the latency objectives: 200 ms for plain requests, 1.5 and 1.8 s
for first events."""

GAP_BUCKETS_MS: Final = (20, 40, 80, 120, 180, 250, 400, 800, 2000, 8000)
"""Bucket bounds are dense around 180 ms, the longest gap between two events that is on time."""

CHOICE_AGE_BUCKETS_MS: Final = (1, 5, 20, 50, 100, 400, 1000, 2000, 5000)
"""Bucket bounds up to the seconds for which a leaving upstream still serves."""


@final
class ForwardingMetrics:
    """Counters, gauges and histograms of one host.

    :param registry: Registry that exports the metrics.
    """

    def __init__(self, *, registry: CollectorRegistry) -> None:
        self.requests: Final = Counter(
            "tanagerscale_requests",
            "Requests answered, by kind of route and outcome.",
            ["kind", "outcome"],
            registry=registry,
        )
        self.latency_ms: Final = Histogram(
            "tanagerscale_request_duration_ms",
            "Time from the arrival of a request to the end of its answer.",
            ["kind"],
            buckets=LATENCY_BUCKETS_MS,
            registry=registry,
        )
        self.first_event_ms: Final = Histogram(
            "tanagerscale_first_event_ms",
            "Time from the arrival of a request to the first event of its stream.",
            buckets=LATENCY_BUCKETS_MS,
            registry=registry,
        )
        self.longest_gap_ms: Final = Histogram(
            "tanagerscale_longest_gap_ms",
            "Longest pause between two events of each stream.",
            buckets=GAP_BUCKETS_MS,
            registry=registry,
        )
        self.attempts: Final = Counter(
            "tanagerscale_attempts",
            "Attempts at upstreams, by what became of them.",
            ["end"],
            registry=registry,
        )
        self.copies: Final = Counter(
            "tanagerscale_run_copies",
            "Copies of runs from engine to engine, by outcome.",
            ["outcome"],
            registry=registry,
        )
        self.moves: Final = Counter(
            "tanagerscale_stream_moves",
            "Streams that went on at another engine, or could not.",
            ["outcome"],
            registry=registry,
        )
        self.stream_ends: Final = Counter(
            "tanagerscale_stream_ends",
            "Ends of engines' parts of streams, by how they ended, by what showed it and by the "
            "state of the orders to stop the run.",
            ["end", "shown_by", "stop"],
            registry=registry,
        )
        self.cut_answers: Final = Counter(
            "tanagerscale_cut_answers",
            "Answers that ended before their end, by cause and by how far they had come.",
            ["cause", "phase"],
            registry=registry,
        )
        self.waiting: Final = Gauge(
            "tanagerscale_waiting_generations",
            "Generations that wait for room on an engine.",
            registry=registry,
        )
        self.delegated: Final = Counter(
            "tanagerscale_delegated_requests",
            "Requests delegated to other hosts, by outcome.",
            ["outcome"],
            registry=registry,
        )
        self.is_cut_off: Final = Gauge(
            "tanagerscale_cut_off",
            "1 while this host reaches no upstream.",
            registry=registry,
        )
        self.paused: Final = Gauge(
            "tanagerscale_paused_upstreams",
            "Upstreams that get no requests from this host since they asked it for a pause.",
            registry=registry,
        )
        self.limited: Final = Gauge(
            "tanagerscale_rate_limited_upstreams",
            "Upstreams that name a rate limit, as far as this host knows.",
            registry=registry,
        )
        self.limited_requests: Final = Counter(
            "tanagerscale_rate_limited_requests",
            "Requests sent to upstreams that name a rate limit, by path.",
            ["path"],
            registry=registry,
        )
        self.suspected_requests: Final = Counter(
            "tanagerscale_suspected_requests",
            "Requests sent while they or parts of them are suspected of crashes, by path.",
            ["path"],
            registry=registry,
        )
        self.unsent_requests: Final = Counter(
            "tanagerscale_unsent_requests",
            "Requests not sent on their way, since they have what crashes upstreams, by path.",
            ["path"],
            registry=registry,
        )
        self.choice_age_ms: Final = Histogram(
            "tanagerscale_choice_age_ms",
            "Time from the choice of an upstream to the sending of the request, by path.",
            ["path"],
            buckets=CHOICE_AGE_BUCKETS_MS,
            registry=registry,
        )
        self.withheld_requests: Final = Counter(
            "tanagerscale_withheld_requests",
            "Requests not sent on their way, since their upstream had begun to leave, by path.",
            ["path"],
            registry=registry,
        )
        self.leaving_requests: Final = Counter(
            "tanagerscale_leaving_requests",
            "Requests sent to upstreams that were known to be leaving, by path.",
            ["path"],
            registry=registry,
        )
        self.broken_responses: Final = Counter(
            "tanagerscale_broken_responses",
            "Responses that broke off, by why; those of crashed upstreams are evidence.",
            ["finding"],
            registry=registry,
        )
        self.repeats: Final = Counter(
            "tanagerscale_repeats",
            "Requests sent to upstreams that had been sent before, by path.",
            ["path"],
            registry=registry,
        )
        self.pause_refusals: Final = Counter(
            "tanagerscale_pause_refusals",
            "Requests refused because all their upstreams had asked for a pause.",
            registry=registry,
        )
        self.slow_engines: Final = Gauge(
            "tanagerscale_slow_engines",
            "Engines that take longer than the fastest third of their service, as this host knows.",
            registry=registry,
        )
        self.capacity_refusals: Final = Counter(
            "tanagerscale_capacity_refusals",
            "Generations refused for lack of capacity: at the end of their wait (capacity) or at "
            "once (forecast).",
            ["cause"],
            registry=registry,
        )
        self.retry_reservations: Final = Gauge(
            "tanagerscale_retry_reservations",
            "Reservations for refused callers at this coordinator since its start, by state.",
            ["state"],
            registry=registry,
        )
        self.evacuated: Final = Gauge(
            "tanagerscale_evacuated_failure_domains",
            "Failure domains whose upstreams get no requests since the operators evacuated them.",
            registry=registry,
        )
