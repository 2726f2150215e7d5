"""Budgets of a host of little memory or with few descriptors, under heavy load."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tanagerscale.policy import UNREAD_STREAM_BYTES
from tanagerscale.policy import HostBudget
from tanagerscale.policy import HostUse
from tanagerscale.policy import make_host_budget
from tanagerscale.policy._host_budget import FAST_STREAM_BUFFER_BYTES
from tanagerscale.policy._host_budget import MIN_STREAM_BUFFER_BYTES
from tanagerscale.policy._host_budget import READY_RATIO
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
    ],
    ids=["held", "outgoing", "descriptors"],
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


# Guards against readiness that changes with the traffic on the link, whose wait is only exported.
def test_host_stays_ready_whatever_waits_for_its_link() -> None:
    budget = _budget(link_mbps=5)
    waiting = HostUse(outgoing_bytes=2 * MB)
    assert budget.get_link_wait_ms(waiting) == 3200
    assert budget.update_readiness(waiting)
    assert not budget.is_limited


# Guards against a count of connections that stays too high for readiness, as all are kept.
def test_connections_are_closed_from_the_withdrawal_of_readiness_until_it_is_regained() -> None:
    budget = _budget(memory_mb=158, file_descriptors=1200)
    steps = [(0.84, False), (0.86, True), (0.71, True), (0.69, False), (0.84, False), (1.01, True)]
    for used, closes in steps:
        use = HostUse(descriptors=int(used * 1000))
        if used <= 1:
            budget.update_readiness(use)
        assert budget.must_close_connections(use) is closes, used
    budget.update_readiness(HostUse(held_bytes=99 * MB))
    assert not budget.must_close_connections(HostUse(held_bytes=99 * MB))


# Guards against long streams whose buffers and unread bytes withdraw readiness for minutes.
@pytest.mark.parametrize(("memory_mb", "streams"), [(128, 290), (128, 396), (136, 442)])
def test_buffers_and_unread_bytes_of_long_streams_leave_the_host_ready(
    memory_mb: int, streams: int
) -> None:
    budget = _budget(memory_mb=memory_mb)
    assert budget.byte_limit is not None
    held = streams * 32 * 1024
    for sent in (0, 100 * 1024, 10 * USUAL_ANSWER_BYTES):
        buffer = budget.get_stream_buffer(
            HostUse(held_bytes=held), streams=streams, sent_bytes=sent
        )
        assert buffer is not None
        used = held + streams * (buffer + UNREAD_STREAM_BYTES)
        assert used < READY_RATIO * budget.byte_limit


# Guards against buffers that together exceed the budget, and against ones larger than an answer.
def test_stream_buffer_is_an_equal_share_and_at_most_the_rest_of_an_answer() -> None:
    budget = _budget(memory_mb=78)
    assert budget.get_stream_buffer(HostUse(), streams=1, sent_bytes=0) == USUAL_ANSWER_BYTES
    share = budget.get_stream_buffer(HostUse(held_bytes=2 * MB), streams=100, sent_bytes=0)
    assert share == 11 * MB // 100 - UNREAD_STREAM_BYTES
    rest = budget.get_stream_buffer(HostUse(), streams=1, sent_bytes=USUAL_ANSWER_BYTES - 70_000)
    assert rest == 70_000
    for held, sent, expected in (
        (20 * MB, 0, MIN_STREAM_BUFFER_BYTES),
        (0, 10 * USUAL_ANSWER_BYTES, FAST_STREAM_BUFFER_BYTES),
    ):
        use = HostUse(held_bytes=held)
        assert budget.get_stream_buffer(use, streams=9, sent_bytes=sent) == expected
    assert _budget(link_mbps=5).get_stream_buffer(HostUse(), streams=9, sent_bytes=0) is None
