"""Metrics of the limits of one host."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final
from typing import final

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge

from tanagerscale.policy import ByteAccount
from tanagerscale.policy import HostBudget
from tanagerscale.policy import HostUse


@final
class HostLimitMetrics:
    """Use of the budgets against their limits, with refusals and pauses.

    :param registry: Registry that exports the metrics.
    :param budget: The budgets.
    :param get_use: Returns what the host uses.
    :param account: Account of incomplete answers.
    :param read_resident_bytes: Returns the resident memory of the process; ``None`` if unknown.
    """

    def __init__(
        self,
        *,
        registry: CollectorRegistry,
        budget: HostBudget,
        get_use: Callable[[], HostUse],
        account: ByteAccount,
        read_resident_bytes: Callable[[], int | None],
    ) -> None:
        self.refusals: Final = Counter(
            "tanagerscale_host_limit_refusals",
            "Requests refused because a budget of the host was used up.",
            ["budget"],
            registry=registry,
        )
        self.pauses: Final = Counter(
            "tanagerscale_host_limit_pauses",
            "Waits of bodies for space, and of streams for callers that read slowly.",
            ["kind"],
            registry=registry,
        )
        self.failures: Final = Counter(
            "tanagerscale_oversized_answers",
            "Incomplete answers that were given up, as they were the largest and memory was short.",
            registry=registry,
        )
        account.on_failure = self.failures.inc
        used = Gauge(
            "tanagerscale_host_used",
            "Bytes and descriptors in use, bytes of incomplete answers (exchanges), resident "
            "memory; milliseconds that the link needs for waiting bytes.",
            ["budget"],
            registry=registry,
        )
        limit = Gauge(
            "tanagerscale_host_limit",
            "Limits for bytes, descriptors and memory, the link's speed in Mbit/s; 0 if unknown.",
            ["budget"],
            registry=registry,
        )

        def get_bytes() -> int:
            use = get_use()
            return use.held_bytes + use.outgoing_bytes

        used.labels("bytes").set_function(get_bytes)
        used.labels("descriptors").set_function(lambda: get_use().descriptors)
        used.labels("link").set_function(lambda: budget.get_link_wait_ms(get_use()))
        used.labels("exchanges").set_function(lambda: account.held)
        used.labels("memory").set_function(lambda: read_resident_bytes() or 0)
        limit.labels("memory").set(budget.memory_bytes or 0)
        limit.labels("bytes").set(budget.byte_limit or 0)
        limit.labels("descriptors").set(budget.descriptor_limit or 0)
        limit.labels("link").set(budget.link_mbps or 0)
