"""Resident memory of a host against its limit, in logs and metrics."""

from __future__ import annotations

from collections.abc import Callable
from mmap import mmap
from random import Random

import logbook
from prometheus_client import CollectorRegistry
import pytest

from tanagerscale.core import Clock
from tanagerscale.core import ResidentMemory
from tanagerscale.gateway._host_limits import HostLimits
from tanagerscale.policy import make_host_budget

MEMORY_MB = 150
MB = 1_000_000
WARNING = "The memory is almost used up."


def _make_limits(registry: CollectorRegistry, read: Callable[[], int | None]) -> HostLimits:
    budget, _ = make_host_budget(memory_mb=MEMORY_MB, file_descriptors=0, link_mbps=0)
    return HostLimits(
        budget=budget,
        clock=Clock(),
        rng=Random(1),
        registry=registry,
        read_resident_bytes=read,
    )


def test_resident_memory_is_that_of_the_process() -> None:
    memory = ResidentMemory()
    before = memory.read()
    if before is None:
        pytest.skip("This system does not tell the resident memory.")
    # The allocator may serve a block from memory that is resident already.
    block = mmap(-1, 50 * MB)
    block[::4096] = b"x" * len(block[::4096])
    after = memory.read()
    assert after is not None
    assert after - before > 40 * MB


def test_metrics_show_the_resident_memory_and_its_limit() -> None:
    registry = CollectorRegistry()
    _make_limits(registry, lambda: 70 * MB)
    labels = {"budget": "memory"}
    assert registry.get_sample_value("tanagerscale_host_used", labels) == 70 * MB
    assert registry.get_sample_value("tanagerscale_host_limit", labels) == MEMORY_MB * MB


# Guards against a process that is killed for its memory without a line that says so.
def test_warning_is_logged_once_when_the_memory_is_almost_used_up() -> None:
    resident = [100 * MB]
    limits = _make_limits(CollectorRegistry(), lambda: resident[0])
    messages = []
    with logbook.TestHandler() as handler:
        for size in (100 * MB, 136 * MB, 140 * MB, 100 * MB, 137 * MB):
            resident[0] = size
            limits.update()
            messages.append([one.message for one in handler.records].count(WARNING))
    assert messages == [0, 1, 1, 1, 2]


def test_nothing_is_logged_when_the_resident_memory_is_unknown() -> None:
    limits = _make_limits(CollectorRegistry(), lambda: None)
    with logbook.TestHandler() as handler:
        limits.update()
    assert not handler.records
