"""Budgets of a host of little memory, with few descriptors or a slow link, under heavy load."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tanagerscale.policy import UNREAD_STREAM_BYTES
from tanagerscale.policy import HostBudget
from tanagerscale.policy import HostUse
from tanagerscale.policy import make_host_budget
from tanagerscale.policy._host_budget import MIN_STREAM_BUFFER_BYTES
from tanagerscale.policy._host_budget import USUAL_ANSWER_BYTES

MB = 1_000_000


def _budget(
    *, memory_mb: float = 0, file_descriptors: float = 0, link_mbps: float = 0
) -> HostBudget:
    return make_host_budget(
        memory_mb=memory_mb, file_descriptors=file_descriptors, link_mbps=link_mbps
    )[0]


# Guards against a budget that leaves out what the process itself takes.
def test_host_of_128_mb_has_70_mb_for_requests() -> None:
    budget = _budget(memory_mb=128)
    assert budget.byte_limit == 70 * MB
    assert budget.has_bytes(HostUse(held_bytes=69 * MB, outgoing_bytes=MB), 0)
    assert not budget.has_bytes(HostUse(held_bytes=69 * MB, outgoing_bytes=MB), 1)


# Guards against readiness that changes with each request, and against one that is never regained.
@pytest.mark.parametrize(
    ("budget", "use_at"),
    [
        (_budget(memory_mb=158), lambda used: HostUse(held_bytes=int(used * 100 * MB))),
        (_budget(memory_mb=158), lambda used: HostUse(outgoing_bytes=int(used * 100 * MB))),
        (_budget(file_descriptors=1200), lambda used: HostUse(descriptors=int(used * 1000))),
        (
            _budget(link_mbps=8),
            lambda used: HostUse(outgoing_bytes=int(used / 0.85 * 500_000), sent_per_ms=900),
        ),
    ],
    ids=["held", "outgoing", "descriptors", "link"],
)
def test_readiness_is_withdrawn_above_85_percent_and_regained_below_70(
    budget: HostBudget, use_at: Callable[[float], HostUse]
) -> None:
    steps = [(0.84, True), (0.86, False), (0.84, False), (0.71, False), (0.69, True), (0.84, True)]
    for used, is_ready in steps:
        assert budget.update_readiness(use_at(used)) is is_ready, used


# Guards against readiness that follows one budget while another one is used up.
def test_readiness_needs_space_in_every_budget() -> None:
    budget = _budget(memory_mb=158, file_descriptors=1200)
    assert not budget.update_readiness(HostUse(held_bytes=90 * MB, descriptors=900))
    assert not budget.update_readiness(HostUse(held_bytes=10 * MB, descriptors=800))
    assert budget.update_readiness(HostUse(held_bytes=10 * MB, descriptors=600))


# Guards against a host that is taken out because its callers, not its link, are slow.
def test_host_stays_ready_when_bytes_wait_for_slow_callers_on_an_idle_link() -> None:
    budget = _budget(link_mbps=5)
    waiting = HostUse(outgoing_bytes=2 * MB, sent_per_ms=300)
    assert budget.get_link_wait_ms(waiting) == 0
    assert budget.update_readiness(waiting)
    busy = HostUse(outgoing_bytes=2 * MB, sent_per_ms=600)
    assert budget.get_link_wait_ms(busy) == 3200
    assert not budget.update_readiness(busy)


# Guards against buffers that together exceed the budget, and against ones larger than an answer.
def test_stream_buffer_is_an_equal_share_and_at_most_the_rest_of_an_answer() -> None:
    budget = _budget(memory_mb=78)
    assert budget.get_stream_buffer(HostUse(), streams=1, sent_bytes=0) == USUAL_ANSWER_BYTES
    share = budget.get_stream_buffer(HostUse(held_bytes=2 * MB), streams=150, sent_bytes=0)
    assert share == 15 * MB // 150 - UNREAD_STREAM_BYTES
    rest = budget.get_stream_buffer(HostUse(), streams=1, sent_bytes=USUAL_ANSWER_BYTES - 20_000)
    assert rest == 20_000
    for held, sent in ((20 * MB, 0), (0, 10 * USUAL_ANSWER_BYTES)):
        use = HostUse(held_bytes=held)
        size = budget.get_stream_buffer(use, streams=9, sent_bytes=sent)
        assert size == MIN_STREAM_BUFFER_BYTES
    assert _budget(link_mbps=5).get_stream_buffer(HostUse(), streams=9, sent_bytes=0) is None
