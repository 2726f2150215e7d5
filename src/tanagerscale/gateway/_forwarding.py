"""Construction of the dependencies that all requests of a host share."""

from __future__ import annotations

from random import Random

from prometheus_client import CollectorRegistry

from tanagerscale.core import Clock
from tanagerscale.core import FailureDomainId
from tanagerscale.forwarding import ForwardingContext
from tanagerscale.forwarding import ForwardingMetrics
from tanagerscale.forwarding import LocalWorkload
from tanagerscale.gateway._control import HostControl
from tanagerscale.gateway._list_metrics import ListCollector
from tanagerscale.gateway._observed_upstreams import ObservedUpstreams
from tanagerscale.gateway._platform import PlatformUpstreamClient
from tanagerscale.gateway._share_metrics import ShareCollector
from tanagerscale.policy import ByteAccount


def make_forwarding_context(
    *,
    control: HostControl,
    upstreams: PlatformUpstreamClient,
    work: LocalWorkload,
    registry: CollectorRegistry,
    failure_domain: FailureDomainId,
    clock: Clock,
    rng: Random,
    has_bounded_buffers: bool = False,
    account: ByteAccount | None = None,
) -> ForwardingContext:
    """Return the dependencies of requests, built on the control plane of their host.

    :param control: Control plane of the host.
    :param upstreams: Client of upstreams and engines.
    :param work: The host's requests on upstreams.
    :param registry: Registry that exports the metrics.
    :param failure_domain: Failure domain of the host.
    :param clock: Clock used for deadlines and durations.
    :param rng: Random number generator used for jitter and tie breaking.
    :param has_bounded_buffers: Whether the buffers of streams to callers are bounded.
    :param account: Account of incomplete answers; ``None`` for none.
    """
    observed = ObservedUpstreams(client=upstreams, paths=control.paths)
    context = ForwardingContext(
        tables=control.configuration,
        upstreams=control.roster,
        gate=control.gate,
        paths=control.paths,
        pauses=control.pauses,
        named_limits=control.named_limits,
        health=control.health,
        suspects=control.suspects,
        crash_reports=control.reach.crash_reports,
        upstream_client=observed,
        engines=observed,
        work=work,
        retry_permits=control.client,
        rate_limits=control.rate_limits,
        rate_permits=control.client.rate_permits,
        metrics=ForwardingMetrics(registry=registry),
        failure_domain=failure_domain,
        clock=clock,
        rng=rng,
        list_age_ms=lambda: control.feed.age_ms,
        has_bounded_buffers=has_bounded_buffers,
        account=account or ByteAccount(),
    )
    registry.register(ShareCollector(coordinator=control.coordinator))
    registry.register(
        ListCollector(
            feeds=control.feeds,
            gate=control.gate,
            lost_watches=control.store_followers.lost_watches,
        )
    )
    context.metrics.evacuated.set_function(lambda: len(control.evacuations.domains))
    context.metrics.is_cut_off.set_function(lambda: control.paths.is_cut_off)
    context.metrics.paused.set_function(lambda: len(control.pauses.paused))
    context.metrics.slow_engines.set_function(lambda: control.coordinator.speeds.slow)
    context.metrics.limited.set_function(lambda: len(control.named_limits.limited))
    schedule = control.coordinator.admission.schedule
    reservations = context.metrics.retry_reservations
    reservations.labels("made").set_function(lambda: schedule.made)
    reservations.labels("used").set_function(lambda: schedule.used)
    reservations.labels("expired").set_function(lambda: schedule.expired)
    context.crash_reports.on_finding = (
        lambda finding, runs: context.metrics.broken_responses.labels(finding.value).inc(runs)
    )
    return context
