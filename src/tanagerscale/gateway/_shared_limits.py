"""Construction of the limits that all hosts share."""

from __future__ import annotations

from collections.abc import Callable

from tanagerscale.coordination import Directory
from tanagerscale.coordination import NamedRates
from tanagerscale.coordination import RateLimits
from tanagerscale.coordination import SharedRetryBudgets
from tanagerscale.coordination import WarmupRates
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import ServiceId
from tanagerscale.gateway._configuration import ConfigurationManager
from tanagerscale.generated.gateway import RetrySection
from tanagerscale.membership import UpstreamRoster
from tanagerscale.upstreams import NamedLimits


def make_retry_budgets(
    *,
    settings: RetrySection,
    directory: Directory,
    configuration: ConfigurationManager,
    share: Callable[[], float],
    clock: Clock,
) -> SharedRetryBudgets:
    """Return the budgets of what is sent more than once.

    :param settings: Size of the budgets.
    :param directory: Since when this host decides.
    :param configuration: The configuration in force.
    :param share: Returns the fraction of all hosts that use this decider, between 0 and 1.
    :param clock: Source of the current time.
    """

    def can_move(service: ServiceId) -> bool:
        table = configuration.table
        declared = None if table is None else table.service(service)
        return declared is not None and declared.engine is not None and declared.engine.can_move

    return SharedRetryBudgets(
        ratio=settings.ratio,
        slack=settings.slack,
        window_s=settings.window_s,
        share=share,
        since=lambda: directory.decider_since,
        has_runs=can_move,
        clock=clock,
    )


def make_rate_limits(
    *,
    host: HostId,
    configuration: ConfigurationManager,
    roster: UpstreamRoster,
    named_limits: NamedLimits,
    share: Callable[[], float],
    clock: Clock,
) -> RateLimits:
    """Return the rate limits of upstreams.

    :param host: This host.
    :param configuration: The configuration in force.
    :param roster: The known upstreams.
    :param named_limits: Limits that upstreams name.
    :param share: Returns the fraction of all hosts that use this decider, between 0 and 1.
    :param clock: Source of the current time.
    """
    warmup = WarmupRates(tables=configuration, upstreams=roster)
    return RateLimits(
        host=host, sources=[warmup, NamedRates(named=named_limits)], share=share, clock=clock
    )
