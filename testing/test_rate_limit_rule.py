"""The arithmetic by which the soak judges the rate limits that upstreams name."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from standins.rate_limit_rule import Arrival
from standins.rate_limit_rule import LimitPeriod
from standins.rate_limit_rule import find_excess

BEGAN = 10_000
PERIOD = LimitPeriod(BEGAN, BEGAN + 20_000, [(BEGAN, 2.0)])
ALLOWED = 17
TOLD = {"h0": [BEGAN + 100], "h1": [BEGAN + 100]}


def _arrivals(count: int, *, at: int, host: str = "h0", spacing_ms: int = 100) -> list[Arrival]:
    return [Arrival(at + number * spacing_ms, host) for number in range(count)]


def _judge(*groups: Sequence[Arrival], period: LimitPeriod = PERIOD) -> bool:
    arrivals = sorted((one for group in groups for one in group), key=lambda one: one.at)
    return bool(find_excess(arrivals=arrivals, period=period, told=TOLD))


@pytest.mark.parametrize(("count", "is_excess"), [(ALLOWED, False), (ALLOWED + 1, True)])
def test_span_is_in_excess_when_it_has_more_than_the_factor_and_slack_allow(
    count: int, is_excess: bool
) -> None:
    assert _judge(_arrivals(count, at=BEGAN + 8_000)) is is_excess


def test_requests_of_all_told_hosts_are_added() -> None:
    half = ALLOWED // 2 + 1
    first = _arrivals(half, at=BEGAN + 8_000)
    second = _arrivals(half, at=BEGAN + 8_050, host="h1")
    assert not _judge(first)
    assert _judge(first, second)


def test_span_over_the_edge_of_two_windows_counts() -> None:
    half = ALLOWED // 2 + 1
    assert _judge(
        _arrivals(half, at=BEGAN + 7_900, spacing_ms=10),
        _arrivals(half, at=BEGAN + 11_000, spacing_ms=10),
    )


def test_requests_are_not_counted_when_their_host_was_not_told_in_time() -> None:
    assert not _judge(_arrivals(50, at=BEGAN + 8_000, host="h2"))
    assert not _judge(_arrivals(50, at=BEGAN + 100, spacing_ms=9))


def test_spans_count_from_the_grace_time_on() -> None:
    early = _arrivals(50, at=BEGAN + 1_000, spacing_ms=10)
    assert not _judge(early)
    assert _judge(early, _arrivals(1, at=BEGAN + 3_000))


def test_requests_are_not_counted_when_their_host_was_interrupted() -> None:
    arrivals = _arrivals(50, at=BEGAN + 8_000)
    assert not find_excess(
        arrivals=arrivals, period=PERIOD, told=TOLD, is_interrupted=lambda *_: True
    )


def test_highest_rate_in_the_span_counts_when_the_limit_is_lowered() -> None:
    lowered = LimitPeriod(BEGAN, BEGAN + 20_000, [(BEGAN, 50.0), (BEGAN + 8_000, 2.0)])
    assert not _judge(_arrivals(50, at=BEGAN + 7_000), period=lowered)
    assert _judge(_arrivals(50, at=BEGAN + 12_100), period=lowered)
